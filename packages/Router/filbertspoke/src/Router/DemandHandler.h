#ifndef FILBERTSPOKE_DEMAND_HANDLER_H
#define FILBERTSPOKE_DEMAND_HANDLER_H

#include "CompletionHandler.h"
#include "Event.h"
#include "MembershipHandler.h"

#include <optional>

namespace filbertspoke::internal {

/** \brief Exchanges the demand of each client account with peers, by which the daemons divide the account limits. */
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
    std::optional<TimePoint> nextReport; ///< empty before the first host list
};

}

#endif
