#include <filbertspoke/Observability>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace filbertspoke {

LineBuffer::LineBuffer(int descriptor, std::size_t keptBytes, DropNote dropNote)
    : descriptor(descriptor)
    , keptBytes(keptBytes)
    , dropNote(std::move(dropNote))
{
}

LineBuffer::int_type LineBuffer::overflow(int_type character)
{
    if (!traits_type::eq_int_type(character, traits_type::eof()))
        this->line += traits_type::to_char_type(character);
    return traits_type::not_eof(character);
}

std::streamsize LineBuffer::xsputn(const char* text, std::streamsize size)
{
    this->line.append(text, static_cast<std::size_t>(size));
    return size;
}

int LineBuffer::sync()
{
    this->writeKept();
    if (this->dropped > 0 && this->kept.empty())
        this->kept = this->dropNote(std::exchange(this->dropped, 0));
    if (this->kept.size() + this->line.size() <= this->keptBytes)
        this->kept += this->line;
    else
        ++this->dropped;
    this->line.clear();
    this->writeKept();
    return 0;
}

void LineBuffer::writeKept()
{
    // A pipe that polls as writable takes this many bytes at once without blocking.
    constexpr std::size_t chunkBytes = PIPE_BUF;
    pollfd state { this->descriptor, POLLOUT, 0 };
    while (!this->kept.empty() && ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0) {
        const ssize_t written = ::write(this->descriptor, this->kept.data(), std::min(chunkBytes, this->kept.size()));
        if (written < 0 && errno == EINTR)
            continue;
        // There is nowhere left to report a log that can't be written.
        if (written <= 0)
            return;
        this->kept.erase(0, static_cast<std::size_t>(written));
    }
}

}
