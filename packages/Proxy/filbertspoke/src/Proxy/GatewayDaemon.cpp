#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <optional>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

using internal::sleepFor;

constexpr Duration housekeepingPause = std::chrono::milliseconds(500);
constexpr Duration stopPollPause = std::chrono::milliseconds(20);
// The balancer takes a daemon out of rotation after two missed checks, a second apart; a third covers a late one.
constexpr Duration rotationTime = std::chrono::milliseconds(3000);
// The process ends this much before it would be killed.
constexpr Duration killMargin = std::chrono::milliseconds(300);

}

class GatewayDaemon::State {
public:
    State(const GatewaySettings& settings, const GatewayWires& wires, SettingsFile file)
        : context(this->io, settings, wires)
        , follower(this->context)
        , orderer(this->context)
        , callers(this->context)
        , readiness(this->io, httpAddress(settings.readiness), [this](const HttpRequest& request) { return this->answerOperator(request); })
        , settingsWatcher(this->context, std::move(file.path), std::move(file.text))
        , signals(this->io, SIGTERM, SIGINT)
    {
        if (settings.peers)
            this->peers.emplace(this->context, this->follower);
        if (settings.metrics)
            this->metricsServer.emplace(this->io, httpAddress(*settings.metrics), [this](const HttpRequest& request) { return this->answerOperator(request); });
    }

    void run()
    {
        this->follower.start();
        this->orderer.start();
        if (this->peers)
            this->peers->start();
        this->callers.start();
        this->settingsWatcher.start();
        asio::co_spawn(this->io, this->housekeep(), asio::detached);
        asio::co_spawn(this->io, this->awaitStop(), asio::detached);
        this->io.run();
    }

private:
    bool ready() const { return !this->context.stopping && this->context.table && this->context.registryKnown; }

    asio::awaitable<std::optional<HttpResponse>> answerOperator(const HttpRequest& request)
    {
        if (this->context.wires.caller->asksReadiness(request))
            co_return emptyResponse(this->ready() ? 200 : 503);
        if (targetPath(request) != "/metrics")
            co_return emptyResponse(404);
        HttpResponse response = emptyResponse(200);
        response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
        response.body = this->context.metrics.page();
        co_return response;
    }

    asio::awaitable<void> housekeep()
    {
        while (true) {
            co_await sleepFor(this->io, housekeepingPause);
            const TimePoint now = bootNow();
            this->context.pool.expire(now);
            this->context.loads.expire(now);
            this->context.registry.expire(now);
        }
    }

    asio::awaitable<void> awaitStop()
    {
        const auto [error, signal] = co_await this->signals.async_wait(asTuple);
        const TimePoint asked = bootNow();
        this->context.stopping = true;
        this->orderer.stop();
        logLine(WriteLog::Level::Info, "stopping", { { "signal", std::to_string(signal) }, { "requestsInProgress", std::to_string(this->context.requestsInProgress) } });
        bool listening = true;
        while (bootNow() - asked < this->context.settings.stopTimeout - killMargin) {
            co_await sleepFor(this->io, stopPollPause);
            if (listening && bootNow() - asked >= rotationTime) {
                listening = false;
                this->callers.stopListening();
            }
            if (!listening && this->context.requestsInProgress == 0)
                break;
        }
        logLine(WriteLog::Level::Info, "stopped", { { "requestsInProgress", std::to_string(this->context.requestsInProgress) } });
        this->io.stop();
    }

    asio::io_context io { 1 };
    GatewayContext context;
    StoreFollower follower;
    PlacementController orderer;
    CallerListener callers;
    std::optional<PeerExchange> peers;
    HttpServer readiness;
    std::optional<HttpServer> metricsServer;
    SettingsWatcher settingsWatcher;
    asio::signal_set signals;
};

GatewayDaemon::GatewayDaemon(const GatewaySettings& settings, const GatewayWires& wires, SettingsFile file)
    : state(std::make_unique<State>(settings, wires, std::move(file)))
{
}

GatewayDaemon::~GatewayDaemon() = default;

void GatewayDaemon::run()
{
    logLine(WriteLog::Level::Info, "started", {});
    this->state->run();
}

}
