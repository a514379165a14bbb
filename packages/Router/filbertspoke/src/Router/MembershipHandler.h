#ifndef FILBERTSPOKE_MEMBERSHIP_HANDLER_H
#define FILBERTSPOKE_MEMBERSHIP_HANDLER_H

#include "Event.h"
#include "RouterContext.h"
#include "RouterStatus.h"

#include <optional>
#include <set>
#include <vector>

namespace filbertspoke::internal {

/** \brief Keeps the endpoint view in step with the host list and the endpoints' own word. */
class MembershipHandler {
public:
    explicit MembershipHandler(RouterContext& context)
        : context(context)
    {
    }

    void handle(const HostsListed&, const Now&, Actions&);
    void handle(const EndpointReported&, const Now&, Actions&);
    void handle(const EndpointSilent&, const Now&, Actions&);
    void handle(const PeerReceived&, const Now&, Actions&);
    void handle(const PeerUnreached&, const Now&, Actions&);
    void handle(const StopRequested&, const Now&, Actions&);
    void handle(const Tick&, const Now&, Actions&);
    std::optional<TimePoint> nextWake() const;

    std::vector<PeerView> peers() const;

private:
    RouterContext& context;
    std::set<EndpointId> known;
};

}

#endif
