#include <filbertspoke/Gateway>

#include <charconv>

namespace filbertspoke {

namespace {

constexpr std::string_view idField = "id:";

std::optional<std::uint64_t> eventId(std::string_view event)
{
    std::size_t start = 0;
    while (start < event.size()) {
        const std::size_t end = std::min(event.find('\n', start), event.size());
        std::string_view line = event.substr(start, end - start);
        start = end + 1;
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc())
            return id;
    }
    return std::nullopt;
}

/** \returns the size of the first whole event, or 0 */
std::size_t firstEventSize(std::string_view text)
{
    const std::size_t plain = text.find("\n\n");
    const std::size_t carriage = text.find("\r\n\r\n");
    if (plain == std::string_view::npos && carriage == std::string_view::npos)
        return 0;
    return plain < carriage ? plain + 2 : carriage + 4;
}

}

std::vector<StreamEvent> EventStream::feed(std::string_view bytes)
{
    this->pending.append(bytes);
    std::vector<StreamEvent> events;
    while (const std::size_t size = firstEventSize(this->pending)) {
        StreamEvent event;
        event.text = this->pending.substr(0, size);
        event.id = eventId(event.text);
        events.push_back(std::move(event));
        this->pending.erase(0, size);
    }
    return events;
}

}
