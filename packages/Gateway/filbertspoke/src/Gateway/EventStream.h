#ifndef FILBERTSPOKE_EVENT_STREAM_H
#define FILBERTSPOKE_EVENT_STREAM_H

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
class EventStream {
public:
    /** \brief Takes the next bytes and gives the events that they complete. */
    std::vector<StreamEvent> feed(std::string_view bytes);

    /** \returns whether bytes of an event that has not ended are held */
    bool midEvent() const { return !this->pending.empty(); }

private:
    std::string pending;
};

}

#endif
