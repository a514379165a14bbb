#ifndef FILBERTSPOKE_COMPLETION_H
#define FILBERTSPOKE_COMPLETION_H

#include <filbertspoke/Http>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief An exchange that a test waits for. */
struct PendingExchange {
    std::optional<HttpOutcome> outcome;

    bool done() const { return this->outcome.has_value(); }

    /** \returns the response's status, 0 when there was none */
    unsigned status() const;

    /** \returns the response's body, empty when there was none */
    std::string body() const;

    /** \returns the value of a header field, empty when there is none */
    std::string header(const std::string& name) const;

    /** \returns the value of a string field of the JSON body, empty when there is none */
    std::string field(const std::string& name) const;
};

/** \brief What a streamed completion brought. */
struct StreamedCompletion {
    std::vector<std::string> tokens; ///< in the order in which they came
    bool indexed = true; ///< the ids of the events were 0, 1, 2 and so on
    bool whole = false; ///< the stream ended with its last event and without an error
};

/** \returns the tokens in the body of server-sent events */
StreamedCompletion readStream(const std::string& body, std::uint32_t firstIndex = 0);

}

#endif
