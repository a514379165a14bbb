#include "RouterParts.h"

#include <algorithm>
#include <utility>

namespace filbertspoke::internal {

RouterParts::RouterParts(DaemonIdentity identity, Random::result_type seed, Planner planner)
    : context(std::move(identity), seed, std::move(planner))
    , configuration(this->context)
    , membership(this->context)
    , completions(this->context)
    , demand(this->membership, this->completions)
    , calls(this->context)
    , drain(this->context)
{
}

void RouterParts::start(const Now& now, Actions& actions)
{
    this->configuration.start(now, actions);
    this->calls.start(now, actions);
}

void RouterParts::handle(const CompletionReceived& event, const Now& now, Actions& actions)
{
    this->completions.handle(event, now, actions);
}

void RouterParts::handle(const CallReceived& event, const Now& now, Actions& actions)
{
    this->calls.handle(event, now, actions);
}

void RouterParts::handle(const KeyRequested& event, const Now& now, Actions& actions)
{
    this->calls.handle(event, now, actions);
}

void RouterParts::handle(const CallerDisconnected& event, const Now& now, Actions& actions)
{
    this->completions.handle(event, now, actions);
    this->calls.handle(event, now, actions);
}

void RouterParts::handle(const StepAnswered& event, const Now& now, Actions& actions)
{
    this->completions.handle(event, now, actions);
}

void RouterParts::handle(const StepFailed& event, const Now& now, Actions& actions)
{
    this->completions.handle(event, now, actions);
}

void RouterParts::handle(const CallAnswered& event, const Now& now, Actions& actions)
{
    this->calls.handle(event, now, actions);
}

void RouterParts::handle(const CallFailed& event, const Now& now, Actions& actions)
{
    this->calls.handle(event, now, actions);
}

void RouterParts::handle(const EndpointReported& event, const Now& now, Actions& actions)
{
    this->membership.handle(event, now, actions);
}

void RouterParts::handle(const EndpointPollFailed& event, const Now& now, Actions& actions)
{
    this->membership.handle(event, now, actions);
}

void RouterParts::handle(const RecordsRead& event, const Now& now, Actions& actions)
{
    this->configuration.handle(event, now, actions);
    this->calls.handle(event, now, actions);
}

void RouterParts::handle(const ReadFailed& event, const Now& now, Actions& actions)
{
    this->configuration.handle(event, now, actions);
    this->calls.handle(event, now, actions);
}

void RouterParts::handle(const RecordsAppended& event, const Now& now, Actions& actions)
{
    this->configuration.handle(event, now, actions);
    this->calls.handle(event, now, actions);
}

void RouterParts::handle(const AppendFailed& event, const Now& now, Actions& actions)
{
    this->configuration.handle(event, now, actions);
    this->calls.handle(event, now, actions);
}

void RouterParts::handle(const HostsListed& event, const Now& now, Actions& actions)
{
    this->configuration.handle(event, now, actions);
    this->context.peers.clear();
    for (const ListedHost& host : event.hosts) {
        if (const auto* daemon = std::get_if<ListedDaemon>(&host.member))
            this->context.peers.insert_or_assign(daemon->id, *daemon);
    }
    this->membership.handle(event, now, actions);
    this->countDaemons();
    this->demand.handle(event, now, actions);
}

void RouterParts::handle(const HostListFailed&, const Now&, Actions& actions)
{
    actions.push_back(count("host_list_failures_total"));
}

void RouterParts::handle(const PeerMessageReceived& event, const Now& now, Actions& actions)
{
    this->membership.handle(event, now, actions);
    this->countDaemons();
    this->demand.handle(event, now, actions);
    this->calls.handle(event, now, actions);
    this->configuration.handle(event, this->membership.directory(), now, actions);
}

void RouterParts::handle(const PeerSendFailed& event, const Now& now, Actions& actions)
{
    this->membership.handle(event, now, actions);
    this->countDaemons();
    this->calls.handle(event, now, actions);
}

void RouterParts::handle(const Tick& event, const Now& now, Actions& actions)
{
    this->configuration.handle(event, this->membership.directory(), now, actions);
    this->membership.handle(event, now, actions);
    this->demand.handle(event, now, actions);
    this->completions.handle(event, now, actions);
    this->calls.handle(event, now, actions);
}

void RouterParts::handle(const StopRequested& event, const Now& now, Actions& actions)
{
    if (this->drain.handle(event, this->inProgress(), actions) == DrainHandler::Step::Abandon) {
        Actions refusals;
        this->completions.abandon(now, refusals);
        this->calls.abandon(now, refusals);
        this->drain.logAbandoned(refusals, actions);
        actions.insert(actions.end(), refusals.begin(), refusals.end());
    }
    this->membership.handle(event, now, actions);
}

void RouterParts::settle(const Now& now, Actions& actions)
{
    const std::vector<EndpointId> lost = std::exchange(this->context.lostEndpoints, {});
    for (const EndpointId& endpoint : lost)
        this->completions.endpointLost(endpoint, now, actions);
    this->membership.setRequestsInProgress(this->inProgress());
    this->drain.settle(this->inProgress(), actions);
}

void RouterParts::countDaemons()
{
    const PeerDirectory& directory = this->membership.directory();
    const std::size_t peers = directory.peersIn(MemberState::Alive).size() + directory.peersIn(MemberState::Suspect).size();
    this->context.daemons = static_cast<std::uint32_t>(peers + 1);
    this->context.listedDaemons = static_cast<std::uint32_t>(directory.possiblyServingCount() + 1);
}

std::optional<TimePoint> RouterParts::nextWake() const
{
    const std::optional<TimePoint> membership = earlier(this->membership.nextWake(), this->demand.nextWake());
    const std::optional<TimePoint> control = earlier(this->configuration.nextWake(), membership);
    return earlier(control, earlier(this->completions.nextWake(), this->calls.nextWake()));
}

RouterStatus RouterParts::status() const
{
    RouterStatus status;
    status.identity = this->context.identity;
    status.draining = this->context.draining;
    status.ready = this->context.configuration != nullptr && !this->context.draining;
    if (this->context.configuration)
        status.configurationRevision = this->context.configuration->revision;
    status.requestsInProgress = static_cast<std::uint32_t>(this->inProgress());
    status.requestsQueued = static_cast<std::uint32_t>(this->completions.queued());
    this->context.endpoints.forEach([&](const EndpointState& state) {
        status.endpoints.push_back({ state.endpoint(), state.takesNewWork(), state.ownInFlight(), state.load().queued });
    });
    std::sort(status.endpoints.begin(), status.endpoints.end(), [](const EndpointStatus& a, const EndpointStatus& b) {
        return a.endpoint.id() < b.endpoint.id();
    });
    status.peers = this->membership.peers();
    return status;
}

const RequestTrace* RouterParts::findTrace(const RequestId& request) const
{
    return this->context.traces.find(request);
}

std::size_t RouterParts::inProgress() const
{
    return this->completions.inProgress() + this->calls.inProgress();
}

}
