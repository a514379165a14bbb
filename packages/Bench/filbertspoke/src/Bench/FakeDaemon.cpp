#include "FakeDaemon.h"

#include <utility>

namespace filbertspoke::bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration pollInterval = 500ms;
constexpr Duration reportLag = 200ms;
constexpr Duration hostListInterval = 1s;
constexpr Duration hostListLag = 1s;
constexpr Duration platformDelay = 5ms;
constexpr Duration peerTimeout = 500ms;

}

FakeDaemon::FakeDaemon(DaemonSpec spec, Planner planner, Random::result_type seed, World& world)
    : daemonSpec(std::move(spec))
    , world(world)
    , router(DaemonIdentity { this->daemonSpec.id, this->daemonSpec.failureDomain, 1 }, seed, std::move(planner))
{
}

void FakeDaemon::start()
{
    this->carryOut(this->router.start(this->world.time.now()));
    this->readHosts();
    this->scheduleTick();
}

void FakeDaemon::handle(const Event& event)
{
    this->carryOut(this->router.handle(event, this->world.time.now()));
    this->scheduleTick();
}

void FakeDaemon::connectionsReset(const FakeEngine& engine)
{
    for (const auto& [key, sent] : std::map<StepKey, SendStep>(this->outstanding)) {
        if (sent.endpoint == engine.spec().id)
            this->fail(engine, sent.step, true);
    }
}

void FakeDaemon::carryOut(const Actions& actions)
{
    for (const Action& action : actions)
        std::visit([this](const auto& alternative) { this->carryOut(alternative); }, action);
}

void FakeDaemon::carryOut(const EmitToken& action)
{
    this->world.recorder.token(action.request, action.index, this->world.time.now().monotonic());
}

void FakeDaemon::carryOut(const CompleteRequest& action)
{
    this->world.recorder.completed(action.request);
}

void FakeDaemon::carryOut(const RefuseRequest& action)
{
    this->world.recorder.refused(action.refusal.code());
    this->world.refused(action.request, action.refusal.code());
}

void FakeDaemon::carryOut(const SendStep& action)
{
    FakeEngine& engine = *this->world.engines.at(action.endpoint);
    this->outstanding.insert_or_assign(StepKey(action.step.request(), action.step.sequence()), action);
    if (!this->reaches(engine))
        return;
    this->world.time.after(this->delayTo(engine), [this, &engine, step = action.step] { this->reach(engine, step); });
}

void FakeDaemon::carryOut(const CancelSteps& action)
{
    FakeEngine& engine = *this->world.engines.at(action.endpoint);
    if (this->reaches(engine))
        this->world.time.after(this->delayTo(engine), [&engine, request = action.request] { engine.cancel(request); });
}

void FakeDaemon::carryOut(const WatchEndpoint& action)
{
    if (this->watched.insert(action.endpoint.id()).second)
        this->poll(action.endpoint.id());
}

void FakeDaemon::carryOut(const UnwatchEndpoint& action)
{
    this->watched.erase(action.endpoint);
}

void FakeDaemon::carryOut(const AppendRecords& action)
{
    if (!this->world.platformUp) {
        this->handleAfter(platformDelay, AppendFailed { action.append, false });
        return;
    }
    std::vector<LogRecord>& records = this->world.log[action.stream];
    const LogOffset first = records.size();
    for (const std::string& payload : action.payloads)
        records.push_back({ action.stream, records.size(), payload });
    this->handleAfter(platformDelay, RecordsAppended { action.append, first });
}

void FakeDaemon::carryOut(const ReadRecords& action)
{
    if (!this->world.platformUp) {
        this->handleAfter(platformDelay, ReadFailed { action.stream });
        return;
    }
    const std::vector<LogRecord>& records = this->world.log[action.stream];
    const LogOffset from = std::min<LogOffset>(action.from, records.size());
    this->handleAfter(platformDelay, RecordsRead { action.stream, { records.begin() + static_cast<std::ptrdiff_t>(from), records.end() }, 0, records.size() });
}

void FakeDaemon::carryOut(const SendToPeer& action)
{
    FakeDaemon* peer = this->world.findDaemon(action.peer.id);
    if (!peer || !this->world.links.connected(this->daemonSpec.failureDomain, peer->spec().failureDomain)) {
        this->handleAfter(peerTimeout, PeerSendFailed { action.peer.id });
        return;
    }
    this->world.time.after(Links::betweenDomains, [this, peer, message = action.message] {
        peer->handle(PeerMessageReceived { this->daemonSpec.id, message });
    });
}

void FakeDaemon::handleAfter(Duration delay, Event event)
{
    this->world.time.after(delay, [this, event = std::move(event)] { this->handle(event); });
}

void FakeDaemon::reach(FakeEngine& engine, const Step& step)
{
    if (engine.alive()) {
        engine.receive(step, [this, &engine](const StepReceipt& receipt) { this->answer(engine, receipt); });
        return;
    }
    if (!engine.silent())
        this->fail(engine, step, false);
}

void FakeDaemon::answer(const FakeEngine& engine, const StepReceipt& receipt)
{
    if (!this->reaches(engine))
        return;
    this->world.time.after(this->delayTo(engine), [this, &engine, receipt] {
        this->outstanding.erase(StepKey(receipt.step().request(), receipt.step().sequence()));
        this->handle(StepAnswered { engine.spec().id, receipt });
    });
}

void FakeDaemon::fail(const FakeEngine& engine, const Step& step, bool sent)
{
    this->outstanding.erase(StepKey(step.request(), step.sequence()));
    this->handleAfter(this->delayTo(engine), StepFailed { engine.spec().id, step.request(), step.generation(), step.sequence(), sent });
}

void FakeDaemon::poll(const EndpointId& id)
{
    if (!this->watched.contains(id))
        return;
    const FakeEngine& engine = *this->world.engines.at(id);
    const EngineRole role { benchModel(), benchVersion, engine.spec().layers };
    if (engine.alive() && this->reaches(engine))
        this->handleAfter(reportLag, EndpointReported { id, engine.load(), role });
    else
        this->handleAfter(reportLag, EndpointPollFailed { id });
    this->world.time.after(pollInterval, [this, id] { this->poll(id); });
}

void FakeDaemon::readHosts()
{
    if (this->world.platformUp)
        this->handleAfter(hostListLag, HostsListed { this->world.hosts() });
    else
        this->handleAfter(platformDelay, HostListFailed {});
    this->world.time.after(hostListInterval, [this] { this->readHosts(); });
}

void FakeDaemon::scheduleTick()
{
    const std::optional<TimePoint> wake = this->router.nextWake();
    if (!wake || (this->tickAt && *this->tickAt <= *wake))
        return;
    this->tickAt = *wake;
    this->world.time.after(*wake - this->world.time.now().monotonic(), [this, at = *wake] {
        if (this->tickAt != at)
            return;
        this->tickAt.reset();
        this->handle(Tick {});
    });
}

Duration FakeDaemon::delayTo(const FakeEngine& engine) const
{
    return this->world.links.delay(this->daemonSpec.failureDomain, engine.spec());
}

bool FakeDaemon::reaches(const FakeEngine& engine) const
{
    return this->world.links.connected(this->daemonSpec.failureDomain, engine.spec().failureDomain);
}

}
