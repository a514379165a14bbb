#ifndef FILBERTSPOKE_TRACE_BUFFER_H
#define FILBERTSPOKE_TRACE_BUFFER_H

#include "RequestTrace.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace filbertspoke::internal {

/** \brief A bounded buffer with the traces of the latest requests, for operators' explain queries. */
class TraceBuffer {
public:
    static constexpr std::size_t maximumRequests = 4096;
    static constexpr std::size_t maximumEntriesPerRequest = 32;

    void add(const RequestId&, const Now&, std::string decision, std::string reason);

    /** \returns the request's trace, or null when it is unknown or too old */
    const RequestTrace* find(const RequestId&) const;

private:
    std::unordered_map<RequestId, RequestTrace> traces;
    std::deque<RequestId> order; ///< oldest first
};

}

#endif
