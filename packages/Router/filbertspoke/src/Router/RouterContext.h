#ifndef FILBERTSPOKE_ROUTER_CONTEXT_H
#define FILBERTSPOKE_ROUTER_CONTEXT_H

#include "Action.h"
#include "DaemonIdentity.h"
#include "TraceBuffer.h"

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>
#include <filbertspoke/Membership>
#include <filbertspoke/Routing>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace filbertspoke::internal {

/** \brief State shared by the handlers of one Router. The comment of each field names its writer. */
struct RouterContext {
    RouterContext(DaemonIdentity own, Random::result_type seed, Planner choice = Planner())
        : identity(std::move(own))
        , planner(std::move(choice))
        , endpoints(this->identity.failureDomain)
        , random(seed)
    {
    }

    DaemonIdentity identity;
    Planner planner;
    EndpointView endpoints; ///< MembershipHandler; the handlers that send work record it here
    Random random;
    std::shared_ptr<const ConfigurationInForce> configuration; ///< ConfigurationHandler; null until a configuration is in force
    bool draining = false; ///< DrainHandler, set on StopRequested
    std::uint32_t daemons = 1; ///< RouterImpl: alive and suspect daemons, including this one
    std::uint32_t listedDaemons = 1; ///< RouterImpl: also daemons that may be serving behind a network partition
    std::vector<EndpointId> lostEndpoints; ///< MembershipHandler: endpoints lost during the current event
    std::map<DaemonId, ListedDaemon> peers; ///< RouterImpl, from the host list: daemons with their addresses
    std::uint64_t nextAppend = 1; ///< any handler: id of the next AppendRecords
    TraceBuffer traces;
};

/** \returns an action that increments a counter of the metrics page */
inline CountMetric count(std::string metric, std::string label = {})
{
    return { std::move(metric), std::move(label) };
}

}

#endif
