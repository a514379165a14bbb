#include <filbertspoke/Observability>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace filbertspoke {

LineBuffer::LineBuffer(int descriptor, std::size_t maxPendingBytes, DropNotice makeDropNotice)
    : descriptor(descriptor)
    , maxPendingBytes(maxPendingBytes)
    , makeDropNotice(std::move(makeDropNotice))
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
    this->writePending();
    if (this->droppedLines > 0 && this->pending.empty())
        this->pending = this->makeDropNotice(std::exchange(this->droppedLines, 0));
    if (this->pending.size() + this->line.size() <= this->maxPendingBytes)
        this->pending += this->line;
    else
        ++this->droppedLines;
    this->line.clear();
    this->writePending();
    return 0;
}

void LineBuffer::writePending()
{
    // poll() reports a pipe as writable only if it has room for PIPE_BUF bytes, so a write of this size does not block.
    constexpr std::size_t chunkBytes = PIPE_BUF;
    pollfd state { this->descriptor, POLLOUT, 0 };
    while (!this->pending.empty() && ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0) {
        const ssize_t written = ::write(this->descriptor, this->pending.data(), std::min(chunkBytes, this->pending.size()));
        if (written < 0 && errno == EINTR)
            continue;
        // A failure to write the log cannot be logged, so the pending lines are left for the next call.
        if (written <= 0)
            return;
        this->pending.erase(0, static_cast<std::size_t>(written));
    }
}

}
