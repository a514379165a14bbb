#include "DaemonLoop.h"

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

// Answers that were written before the stop still leave the process in this time.
constexpr Duration finishDelay = 200ms;

Now readClocks()
{
    const auto monotonic = std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    const auto wall = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    return Now(monotonic, wall);
}

/** \brief Binds the link, since a port of 0 is known only then. */
DaemonIdentity startPeers(PeerLink& peers, const Settings& settings)
{
    if (const std::error_code error = peers.start())
        throw std::system_error(error, "peers.address");
    const auto started = static_cast<std::uint64_t>(readClocks().wall().time_since_epoch().count());
    return { settings.daemon(), settings.failureDomain(), started, settings.peers().address, peers.port() };
}

CallerServerLimits limitsOf(const Settings& settings)
{
    CallerServerLimits limits;
    limits.bodyBytes = settings.limits().bodyBytes;
    limits.headerTimeout = settings.limits().headerTimeout;
    limits.idleTimeout = settings.limits().idleTimeout;
    limits.connections = settings.limits().connections;
    return limits;
}

PlatformSettings platformOf(const Settings& settings)
{
    PlatformSettings platform;
    platform.log = { settings.platformLog().address, settings.platformLog().port };
    platform.hostList = { settings.platformHosts().address, settings.platformHosts().port };
    return platform;
}

PeerLinkSettings peersOf(const Settings& settings)
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
    , peers(this->io, peersOf(this->settings), [this](Event event) { this->take(std::move(event)); })
    , router(startPeers(this->peers, this->settings), this->settings.randomSeed().value_or(std::random_device()()))
    , latencies(this->metrics)
    , pages(this->router, this->metrics)
    , platform(this->io, platformOf(this->settings), [this](Event event) { this->take(std::move(event)); })
    , endpoints(this->io, EndpointSettings {}, [this](Event event) { this->take(std::move(event)); })
    , callers(
          this->io, this->settings.callers().address, this->settings.callers().port, limitsOf(this->settings),
          this->settings.daemon().str() + "-" + std::to_string(this->router.status().identity.incarnation),
          [this](Event event) { this->take(std::move(event)); })
    , operators(this->io, { this->settings.operators().address, this->settings.operators().port },
          [this](HttpRequest request) -> asio::awaitable<std::optional<HttpResponse>> { co_return this->pages.answer(request); })
    , signals(this->io, SIGTERM, SIGINT)
    , wakeTimer(this->io)
    , drainTimer(this->io)
    , finishTimer(this->io)
{
}

void DaemonLoop::run()
{
    LogWriter::write({ WriteLog::Level::Info, "started",
        { { "callers", this->settings.callers().address + ":" + std::to_string(this->callers.port()) },
            { "peers", this->settings.peers().address + ":" + std::to_string(this->peers.port()) },
            { "operators", this->settings.operators().address + ":" + std::to_string(this->operators.address().port) } } });
    this->awaitSignal();
    this->platform.start();
    this->carryOut(this->router.start(readClocks()));
    this->take(Tick {});
    this->io.run();
}

void DaemonLoop::take(Event event)
{
    this->pending.push_back(std::move(event));
    if (this->handling)
        return;
    this->handling = true;
    while (!this->pending.empty()) {
        const Event next = std::move(this->pending.front());
        this->pending.pop_front();
        const Now now = readClocks();
        this->latencies.observe(next, now.monotonic());
        this->carryOut(this->router.handle(next, now));
    }
    this->handling = false;
    this->setTimer();
}

void DaemonLoop::carryOut(const Actions& actions)
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
                       [this](const StopProcess&) { this->finish(); } },
            action);
    }
}

void DaemonLoop::setTimer()
{
    const std::optional<TimePoint> next = this->router.nextWake();
    if (next == this->wakeAt)
        return;
    this->wakeAt = next;
    if (!next) {
        this->wakeTimer.cancel();
        return;
    }
    this->wakeTimer.expires_at(*next);
    this->wakeTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        this->wakeAt.reset();
        this->take(Tick {});
    });
}

void DaemonLoop::awaitSignal()
{
    this->signals.async_wait([this](boost::system::error_code error, int) {
        if (error)
            return;
        this->requestStop();
        this->awaitSignal();
    });
}

void DaemonLoop::requestStop()
{
    LogWriter::write({ WriteLog::Level::Info, this->stopping ? "stop-forced" : "stop-requested", { { "inProgress", std::to_string(this->router.status().requestsInProgress) } } });
    if (!this->stopping) {
        this->stopping = true;
        this->callers.drain();
        this->startDrainTimer();
    }
    this->take(StopRequested {});
}

void DaemonLoop::startDrainTimer()
{
    this->drainTimer.expires_after(this->settings.limits().drainTimeout);
    this->drainTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->requestStop();
    });
}

void DaemonLoop::finish()
{
    this->drainTimer.cancel();
    this->finishTimer.expires_after(finishDelay);
    this->finishTimer.async_wait([this](boost::system::error_code) {
        LogWriter::write({ WriteLog::Level::Info, "stopped", {} });
        this->io.stop();
    });
}

}
