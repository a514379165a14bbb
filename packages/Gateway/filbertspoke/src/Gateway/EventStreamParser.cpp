#include <filbertspoke/Gateway>

#include <algorithm>
#include <charconv>

namespace filbertspoke {

namespace {

constexpr std::string_view idField = "id:";
constexpr std::string_view shortEndOfEvent = "\n\n";
constexpr std::string_view endOfEvent = "\r\n\r\n";

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

/** \returns the size of the first whole event, or 0
 * \param searched bytes in which no event ends */
std::size_t firstEventSize(std::string_view text, std::size_t searched)
{
    // The end of an event may have begun in the bytes that came before.
    const std::size_t from = searched - std::min(searched, endOfEvent.size() - 1);
    const std::size_t plain = text.find(shortEndOfEvent, from);
    const std::size_t carriage = text.find(endOfEvent, from);
    if (plain == std::string_view::npos && carriage == std::string_view::npos)
        return 0;
    return plain < carriage ? plain + shortEndOfEvent.size() : carriage + endOfEvent.size();
}

}

std::vector<StreamEvent> EventStreamParser::feed(std::string_view bytes)
{
    this->pending.append(bytes);
    std::vector<StreamEvent> events;
    while (const std::size_t size = firstEventSize(this->pending, this->searched)) {
        StreamEvent event;
        event.text = this->pending.substr(0, size);
        event.id = eventId(event.text);
        events.push_back(std::move(event));
        this->pending.erase(0, size);
        this->searched = 0;
    }
    this->searched = this->pending.size();
    return events;
}

}
