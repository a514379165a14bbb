#ifndef FILBERTSPOKE_REQUEST_TRACE_H
#define FILBERTSPOKE_REQUEST_TRACE_H

#include <filbertspoke/Core>

#include <string>
#include <vector>

namespace filbertspoke {

/** \brief One decision on a request. */
struct TraceEntry {
    WallTime time;
    std::string decision; ///< for example "planned", "stage-lost", "refused"
    std::string reason; ///< for example the chain, or a refusal's code

    auto operator<=>(const TraceEntry&) const = default;
};

/** \brief The routing decisions on one request, with their reasons. */
struct RequestTrace {
    RequestId request;
    std::vector<TraceEntry> entries; ///< in the order of the decisions

    auto operator<=>(const RequestTrace&) const = default;
};

}

#endif
