#ifndef FILBERTSPOKE_ROUTER_CONTEXT_H
#define FILBERTSPOKE_ROUTER_CONTEXT_H

#include "Action.h"
#include "DaemonIdentity.h"
#include "TraceJournal.h"

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

/** \brief What the handlers of one Router share. Each field names the handler that writes it. */
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
    EndpointView endpoints; ///< MembershipHandler; work in progress by whoever sends it
    Random random;
    std::shared_ptr<const ConfigurationInForce> configuration; ///< ConfigurationHandler; null before the first
    bool draining = false; ///< Router, from StopRequested on
    std::uint32_t daemons = 1; ///< RouterParts: those that are not gone, with this one
    std::uint32_t listedDaemons = 1; ///< RouterParts: those that may serve beyond a cut, too
    std::vector<EndpointId> lostEndpoints; ///< MembershipHandler: lost in this event
    std::map<DaemonId, ListedDaemon> peers; ///< Router, from the host list: where peers are reached
    std::uint64_t nextAppend = 1; ///< names the next AppendRecords of any handler
    TraceJournal traces;
};

/** \returns the action that counts one event of a kind on the metrics page */
inline CountMetric count(std::string metric, std::string label = {})
{
    return { std::move(metric), std::move(label) };
}

}

#endif
