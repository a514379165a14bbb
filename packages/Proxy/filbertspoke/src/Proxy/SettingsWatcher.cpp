#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

using internal::sleepFor;

constexpr Duration pollInterval = std::chrono::seconds(1);

/** \returns whether an address to listen on differs, which only takes effect after a restart */
bool listenAddressChanged(const GatewaySettings& a, const GatewaySettings& b)
{
    return a.callers != b.callers || a.readiness != b.readiness || a.peers != b.peers || a.metrics != b.metrics;
}

}

SettingsWatcher::SettingsWatcher(GatewayContext& context, std::string file, std::string text)
    : context(context)
    , file(std::move(file))
    , text(std::move(text))
    , hangup(context.io, SIGHUP)
{
}

void SettingsWatcher::start()
{
    asio::co_spawn(this->context.io, this->awaitHangup(), asio::detached);
    asio::co_spawn(this->context.io, this->poll(), asio::detached);
}

asio::awaitable<void> SettingsWatcher::awaitHangup()
{
    while (true) {
        const auto [error, signal] = co_await this->hangup.async_wait(asTuple);
        if (error)
            co_return;
        this->reload(true);
    }
}

asio::awaitable<void> SettingsWatcher::poll()
{
    while (true) {
        co_await sleepFor(this->context.io, pollInterval);
        this->reload(false);
    }
}

void SettingsWatcher::reload(bool forced)
{
    std::ifstream stream(this->file);
    std::ostringstream read;
    read << stream.rdbuf();
    if (!forced && (!stream || read.str() == this->text))
        return;
    this->text = read.str();
    auto parsed = parseGatewaySettings(this->text);
    if (const auto* problems = std::get_if<std::vector<DocumentProblem>>(&parsed)) {
        for (const DocumentProblem& problem : *problems)
            logLine(WriteLog::Level::Error, "settings-rejected", { { "file", this->file }, { "problem", describe(problem) } });
        return;
    }
    auto& settings = std::get<GatewaySettings>(parsed);
    if (listenAddressChanged(settings, this->context.settings))
        logLine(WriteLog::Level::Warning, "settings-need-restart", { { "reason", "an address to listen on has changed" } });
    logLine(WriteLog::Level::Info, "settings-reloaded", { { "changed", settings == this->context.settings ? "no" : "yes" } });
    this->context.settings = std::move(settings);
    this->context.requestMemory.setLimit(this->context.settings.requestMemoryBytes);
}

}
