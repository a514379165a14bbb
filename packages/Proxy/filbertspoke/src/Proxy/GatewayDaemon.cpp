#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <optional>
#include <utility>
#include <vector>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

using internal::sleepFor;

constexpr Duration housekeepingInterval = std::chrono::milliseconds(500);
// Interval at which a stopping daemon checks whether the requests in progress have finished.
constexpr Duration stopPollInterval = std::chrono::milliseconds(20);

/** \brief I/O context whose pending handlers can be destroyed before the objects that they refer to. */
class HandlerOwner : public asio::io_context {
public:
    using asio::io_context::io_context;

    void destroyHandlers() { this->shutdown(); }
};

}

class GatewayDaemon::State {
public:
    State(const GatewaySettings& settings, const GatewayCodecs& codecs, SettingsFile file)
        : context(this->io, settings, codecs)
        , follower(this->context)
        , placement(this->context)
        , prober(this->context)
        , callers(this->context, settings.callers, RequestSource::Callers)
        , readiness(this->io, httpAddress(settings.readiness), [this](const HttpRequest& request) { return this->handleOperatorRequest(request); })
        , settingsWatcher(this->context, std::move(file.path), std::move(file.text))
        , signals(this->io, SIGTERM, SIGINT)
    {
        if (settings.peers)
            this->peers.emplace(this->context);
        if (settings.handover)
            this->handovers.emplace(this->context, *settings.handover, RequestSource::Gateways);
        if (settings.metrics)
            this->metricsServer.emplace(this->io, httpAddress(*settings.metrics), [this](const HttpRequest& request) { return this->handleOperatorRequest(request); });
    }

    // Suspended coroutines of requests in progress release their reservations in the context when they are destroyed.
    ~State() { this->io.destroyHandlers(); }
    State(const State&) = delete;
    State& operator=(const State&) = delete;

    void run()
    {
        this->follower.start();
        this->placement.start();
        if (this->peers)
            this->peers->start();
        this->callers.start();
        this->prober.start();
        if (this->handovers)
            this->handovers->start();
        this->settingsWatcher.start();
        asio::co_spawn(this->io, this->runHousekeeping(), asio::detached);
        asio::co_spawn(this->io, this->awaitStop(), asio::detached);
        this->io.run();
    }

private:
    bool ready() const { return !this->context.isStopping() && this->context.table && this->context.registryLoaded; }

    asio::awaitable<std::optional<HttpResponse>> handleOperatorRequest(const HttpRequest& request)
    {
        if (this->context.codecs.caller->asksReadiness(request))
            co_return emptyResponse(this->ready() ? 200 : 503);
        if (targetPath(request) != "/metrics")
            co_return emptyResponse(404);
        HttpResponse response = emptyResponse(200);
        response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
        response.body = this->context.metrics.page();
        co_return response;
    }

    asio::awaitable<void> runHousekeeping()
    {
        while (true) {
            const TimePoint startedAt = bootNow();
            co_await sleepFor(this->io, housekeepingInterval);
            const TimePoint now = bootNow();
            if (wasHeldUp(startedAt, housekeepingInterval)) {
                logLine(WriteLog::Level::Warning, "held-up", { { "lateMs", milliseconds(now - startedAt - housekeepingInterval) }, { "requestsInProgress", std::to_string(this->context.requestsInProgress) } });
                this->context.metrics.count({ "hold_ups_total", "" });
            }
            this->context.pool.expire(now);
            this->context.loads.expire(now);
            this->context.registry.expire(now);
            this->context.rateLimits.expire(now);
            this->context.updateRateLimits(now);
        }
    }

    asio::awaitable<void> awaitStop()
    {
        const auto [error, signal] = co_await this->signals.async_wait(asTuple);
        const StopSchedule schedule(bootNow(), this->context.settings.stopTimeout);
        this->context.stopSchedule = schedule;
        this->placement.stop();
        logLine(WriteLog::Level::Info, "stopping", { { "signal", std::to_string(signal) }, { "requestsInProgress", std::to_string(this->context.requestsInProgress) } });
        std::vector<CallerListener*> listeners { &this->callers };
        if (this->handovers)
            listeners.push_back(&*this->handovers);
        bool listening = true;
        bool ending = false;
        bool over = false;
        while (!over) {
            co_await sleepFor(this->io, stopPollInterval);
            const TimePoint now = bootNow();
            // A gateway that was held up ends its requests late, and leaves time for their responses all the same.
            over = ending && schedule.isOver(now);
            if (listening && !schedule.acceptsConnections(now)) {
                listening = false;
                for (CallerListener* listener : listeners)
                    listener->stopListening();
            }
            if (!ending && schedule.endsRequests(now)) {
                ending = true;
                this->endRequests();
            }
            if (!listening)
                over = closeIdle(listeners, schedule.closesUnusedConnections(now)) || over;
        }
        for (const ForwardTask* task : this->context.tasks)
            task->logOutcome("unfinished", 0);
        for (const CallerListener* listener : listeners)
            listener->logUnread();
        logLine(WriteLog::Level::Info, "stopped", { { "requestsInProgress", std::to_string(this->context.requestsInProgress) } });
        this->io.stop();
    }

    /** \brief Closes connections without a request in progress.
     * \returns whether none is open */
    static bool closeIdle(const std::vector<CallerListener*>& listeners, bool unused)
    {
        for (CallerListener* listener : listeners)
            listener->closeIdle(unused);
        return std::all_of(listeners.begin(), listeners.end(), [](const CallerListener* listener) { return listener->idle(); });
    }

    /** \brief Ends the requests in progress, so that their callers get a response as far as they can still get one. */
    void endRequests()
    {
        logLine(WriteLog::Level::Info, "requests-ended", { { "requestsInProgress", std::to_string(this->context.requestsInProgress) } });
        for (ForwardTask* task : this->context.tasks)
            task->abandon();
        this->context.waiters.wakeAll();
    }

    HandlerOwner io { 1 };
    GatewayContext context;
    StoreFollower follower;
    PlacementController placement;
    ReachabilityProber prober;
    CallerListener callers;
    std::optional<CallerListener> handovers;
    std::optional<PeerExchange> peers;
    HttpServer readiness;
    std::optional<HttpServer> metricsServer;
    SettingsWatcher settingsWatcher;
    asio::signal_set signals;
};

GatewayDaemon::GatewayDaemon(const GatewaySettings& settings, const GatewayCodecs& codecs, SettingsFile file)
    : state(std::make_unique<State>(settings, codecs, std::move(file)))
{
}

GatewayDaemon::~GatewayDaemon() = default;

void GatewayDaemon::run()
{
    logLine(WriteLog::Level::Info, "started", {});
    this->state->run();
}

}
