#ifndef FILBERTSPOKE_TRACE_JOURNAL_H
#define FILBERTSPOKE_TRACE_JOURNAL_H

#include "RequestTrace.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace filbertspoke::internal {

/** \brief The traces of the latest requests, so that an operator can ask for the reason afterwards. */
class TraceJournal {
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
