#ifndef FILBERTSPOKE_EVENT_STREAM_H
#define FILBERTSPOKE_EVENT_STREAM_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspoke {

/** \brief One whole event of a text/event-stream. */
struct StreamEvent {
    std::string text; ///< as received, with the empty line that ends it
    std::optional<std::uint64_t> id;

    bool operator==(const StreamEvent&) const = default;
};

/** \brief Cuts the bytes of a text/event-stream into whole events. */
class EventStreamParser {
public:
    /** \brief Takes the next bytes and gives the events that they complete. */
    std::vector<StreamEvent> feed(std::string_view bytes);

    /** \returns whether bytes of an event that has not ended are held */
    bool midEvent() const { return !this->pending.empty(); }
    /** \returns whether the event that has not ended is larger than any that an engine makes */
    bool eventTooLarge() const { return this->pending.size() > maximumEventBytes; }

private:
    // A hundred times the largest event of a few tokens.
    static constexpr std::size_t maximumEventBytes = 64 * 1024;

    std::string pending;
    std::size_t searched = 0; ///< bytes of it that hold no end of an event
};

}

#endif
