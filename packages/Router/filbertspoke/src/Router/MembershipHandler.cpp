#include "MembershipHandler.h"

namespace filbertspoke::internal {

void MembershipHandler::handle(const HostsListed& event, const Now&, Actions& actions)
{
    for (const ListedHost& host : event.hosts) {
        const Endpoint* endpoint = std::get_if<Endpoint>(&host.member);
        if (!endpoint)
            continue;
        if (this->known.insert(endpoint->id()).second)
            actions.push_back(WatchEndpoint { *endpoint });
        this->context.endpoints.put(*endpoint);
        this->context.endpoints.setTakesNewWork(endpoint->id(), !host.leaving);
    }
}

void MembershipHandler::handle(const EndpointReported& event, const Now& now, Actions&)
{
    this->context.endpoints.report(event.endpoint, event.load, now.monotonic());
}

void MembershipHandler::handle(const EndpointSilent&, const Now&, Actions&) { }
void MembershipHandler::handle(const PeerReceived&, const Now&, Actions&) { }
void MembershipHandler::handle(const PeerUnreached&, const Now&, Actions&) { }
void MembershipHandler::handle(const StopRequested&, const Now&, Actions&) { }
void MembershipHandler::handle(const Tick&, const Now&, Actions&) { }

std::optional<TimePoint> MembershipHandler::nextWake() const
{
    return std::nullopt;
}

std::vector<PeerView> MembershipHandler::peers() const
{
    return {};
}

}
