#ifndef FILBERTSPOKE_EVENT_STREAM_PARSER_H
#define FILBERTSPOKE_EVENT_STREAM_PARSER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspoke {

/** \brief One complete event of a text/event-stream. */
struct StreamEvent {
    std::string text; ///< as received, including the empty line that ends the event
    std::optional<std::uint64_t> id; ///< nothing when the event has no numeric id field

    bool operator==(const StreamEvent&) const = default;
};

/** \brief Incremental parser that splits a text/event-stream into events. */
class EventStreamParser {
public:
    /** \brief Parses the next bytes.
     * \returns the events that they complete, in order */
    std::vector<StreamEvent> feed(std::string_view bytes);

    /** \returns whether the input so far ends within an event */
    bool midEvent() const { return !this->pending.empty(); }
    /** \returns whether the incomplete event exceeds the size limit, which is larger than any event of an engine */
    bool eventTooLarge() const { return this->pending.size() > maximumEventBytes; }

private:
    // A hundred times the size of the largest event of a few tokens.
    static constexpr std::size_t maximumEventBytes = 64 * 1024;

    std::string pending; ///< bytes of the incomplete event
    std::size_t searched = 0; ///< leading bytes of pending that are known to contain no end of an event
};

}

#endif
