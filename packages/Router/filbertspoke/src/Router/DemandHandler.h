#ifndef FILBERTSPOKE_DEMAND_HANDLER_H
#define FILBERTSPOKE_DEMAND_HANDLER_H

#include "CompletionHandler.h"
#include "Event.h"
#include "MembershipHandler.h"

#include <optional>

namespace filbertspoke::internal {

/** \brief Tells peers what this daemon's callers ask for, so that the daemons share out the account limits. */
class DemandHandler {
public:
    DemandHandler(const MembershipHandler& membership, CompletionHandler& completions)
        : membership(membership)
        , completions(completions)
    {
    }

    void handle(const HostsListed&, const Now&, Actions&);
    void handle(const PeerMessageReceived&, const Now&, Actions&);
    void handle(const Tick&, const Now&, Actions&);
    std::optional<TimePoint> nextWake() const { return this->nextReport; }

private:
    const MembershipHandler& membership;
    CompletionHandler& completions;
    std::optional<TimePoint> nextReport; ///< nothing before the first host list
};

}

#endif
