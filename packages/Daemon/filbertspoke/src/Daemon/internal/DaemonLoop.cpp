#include "DaemonLoop.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>
#include <string>
#include <system_error>
#include <utility>

namespace filbertspoke::internal {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

// Time for responses that are already written to leave the send buffers before the process exits.
constexpr Duration exitDelay = 200ms;
constexpr Duration usualDelay = 20ms; // of timers while the process gets processor time
constexpr Duration readingTime = 50ms; // for what arrived while the process was held up

Now readClocks()
{
    const auto monotonic = std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    const auto wall = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    return Now(monotonic, wall);
}

/** \brief Starts the peer link and returns the daemon's identity.
 *
 * The identity contains the bound port: if the settings specify port 0, it is only known once the link is bound.
 * \throws std::system_error if the address cannot be bound */
DaemonIdentity startPeerLink(PeerLink& peers, const Settings& settings)
{
    if (const std::error_code error = peers.start())
        throw std::system_error(error, "peers.address");
    const auto started = static_cast<std::uint64_t>(readClocks().wall().time_since_epoch().count());
    return { settings.daemon(), settings.failureDomain(), started, settings.peers().address, peers.port() };
}

CallerServerLimits callerServerLimits(const Settings& settings)
{
    CallerServerLimits limits;
    limits.bodyBytes = settings.limits().bodyBytes;
    limits.headerTimeout = settings.limits().headerTimeout;
    limits.idleTimeout = settings.limits().idleTimeout;
    limits.connections = settings.limits().connections;
    return limits;
}

PlatformSettings platformSettings(const Settings& settings)
{
    PlatformSettings platform;
    platform.log = { settings.platformLog().address, settings.platformLog().port };
    platform.hostList = { settings.platformHosts().address, settings.platformHosts().port };
    return platform;
}

PeerLinkSettings peerLinkSettings(const Settings& settings)
{
    PeerLinkSettings peers;
    peers.self = settings.daemon();
    peers.address = settings.peers().address;
    peers.port = settings.peers().port;
    return peers;
}

}

DaemonLoop::DaemonLoop(const Settings& daemonSettings)
    : settings(daemonSettings)
    , peers(this->io, peerLinkSettings(this->settings), [this](Event event) { this->dispatch(std::move(event)); })
    , router(startPeerLink(this->peers, this->settings), this->settings.randomSeed().value_or(std::random_device()()))
    , latencies(this->metrics)
    , operatorHandler(this->router, this->metrics)
    , platform(this->io, platformSettings(this->settings), [this](Event event) { this->dispatch(std::move(event)); })
    , endpoints(this->io, EndpointSettings {}, [this](Event event) { this->dispatch(std::move(event)); })
    , callers(
          this->io, this->settings.callers().address, this->settings.callers().port, callerServerLimits(this->settings),
          this->settings.daemon().str() + "-" + std::to_string(this->router.status().identity.incarnation),
          [this](Event event) { this->dispatch(std::move(event)); })
    , operators(this->io, { this->settings.operators().address, this->settings.operators().port },
          [this](HttpRequest request) -> asio::awaitable<std::optional<HttpResponse>> { co_return this->operatorHandler.handle(request); })
    , signals(this->io, SIGTERM, SIGINT)
    , wakeTimer(this->io)
    , drainTimer(this->io)
    , exitTimer(this->io)
{
}

void DaemonLoop::run()
{
    LogWriter::write({ WriteLog::Level::Info, "started",
        { { "callers", this->settings.callers().address + ":" + std::to_string(this->callers.port()) },
            { "peers", this->settings.peers().address + ":" + std::to_string(this->peers.port()) },
            { "operators", this->settings.operators().address + ":" + std::to_string(this->operators.address().port) } } });
    this->waitForSignal();
    this->platform.start();
    this->execute(this->router.start(readClocks()));
    this->dispatch(Tick {});
    this->io.run();
}

void DaemonLoop::dispatch(Event event)
{
    this->pendingEvents.push_back(std::move(event));
    if (this->dispatching)
        return;
    this->dispatching = true;
    while (!this->pendingEvents.empty()) {
        const Event next = std::move(this->pendingEvents.front());
        this->pendingEvents.pop_front();
        const Now now = readClocks();
        this->latencies.observe(next, now.monotonic());
        this->execute(this->router.handle(next, now));
    }
    this->dispatching = false;
    this->updateWakeTimer();
}

void DaemonLoop::execute(const Actions& actions)
{
    const TimePoint now = readClocks().monotonic();
    for (const Action& action : actions) {
        this->latencies.observe(action, now);
        std::visit(Overloaded {
                       [this](const EmitToken& token) { this->callers.carryOut(token); },
                       [this](const CompleteRequest& complete) { this->callers.carryOut(complete); },
                       [this](const AnswerCall& answer) { this->callers.carryOut(answer); },
                       [this](const RefuseRequest& refuse) { this->callers.carryOut(refuse); },
                       [this](const SendStep& send) { this->endpoints.carryOut(send); },
                       [this](const CancelSteps& cancel) { this->endpoints.carryOut(cancel); },
                       [this](const SendCall& send) { this->endpoints.carryOut(send); },
                       [this](const CancelCall& cancel) { this->endpoints.carryOut(cancel); },
                       [this](const WatchEndpoint& watch) { this->endpoints.carryOut(watch); },
                       [this](const UnwatchEndpoint& forget) { this->endpoints.carryOut(forget); },
                       [this](const AppendRecords& append) { this->platform.carryOut(append); },
                       [this](const ReadRecords& read) { this->platform.carryOut(read); },
                       [this](const SendToPeer& send) { this->peers.send(send); },
                       [](const WriteLog& line) { LogWriter::write(line); },
                       [this](const CountMetric& metric) { this->metrics.count(metric); },
                       [this](const StopProcess&) { this->scheduleExit(); } },
            action);
    }
}

void DaemonLoop::updateWakeTimer()
{
    std::optional<TimePoint> next = this->router.nextWake();
    if (next && this->readUntil)
        next = std::max(*next, *this->readUntil);
    if (next == this->wakeTime)
        return;
    this->wakeTime = next;
    if (!next) {
        this->wakeTimer.cancel();
        return;
    }
    this->wakeTimer.expires_at(*next);
    this->wakeTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->wake();
    });
}

// Timers are served before sockets. After a hold-up, time limits would end although what they wait for has arrived.
void DaemonLoop::wake()
{
    const TimePoint now = readClocks().monotonic();
    const Duration late = now - *std::exchange(this->wakeTime, std::nullopt);
    const bool wasReading = std::exchange(this->readUntil, std::nullopt).has_value();
    if (late <= usualDelay || wasReading) {
        this->dispatch(Tick {});
        return;
    }
    LogWriter::write({ WriteLog::Level::Warning, "held-up",
        { { "lateMs", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(late).count()) }, { "requestsInProgress", std::to_string(this->router.status().requestsInProgress) } } });
    this->metrics.count({ "hold_ups_total", "" });
    this->readUntil = now + readingTime;
    this->updateWakeTimer();
}

void DaemonLoop::waitForSignal()
{
    this->signals.async_wait([this](boost::system::error_code error, int) {
        if (error)
            return;
        this->requestStop();
        this->waitForSignal();
    });
}

void DaemonLoop::requestStop()
{
    LogWriter::write({ WriteLog::Level::Info, this->shuttingDown ? "stop-forced" : "stop-requested", { { "inProgress", std::to_string(this->router.status().requestsInProgress) } } });
    if (!this->shuttingDown) {
        this->shuttingDown = true;
        this->callers.drain();
        this->startDrainTimer();
    }
    this->dispatch(StopRequested {});
}

void DaemonLoop::startDrainTimer()
{
    this->drainTimer.expires_after(this->settings.limits().drainTimeout);
    this->drainTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->requestStop();
    });
}

void DaemonLoop::scheduleExit()
{
    this->drainTimer.cancel();
    this->exitTimer.expires_after(exitDelay);
    this->exitTimer.async_wait([this](boost::system::error_code) {
        LogWriter::write({ WriteLog::Level::Info, "stopped", {} });
        this->io.stop();
    });
}

}
