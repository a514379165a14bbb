#ifndef FILBERTSPOKE_SETTINGS_H
#define FILBERTSPOKE_SETTINGS_H

#include "DocumentProblem.h"
#include "SocketAddress.h"

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief Default TCP port for callers. */
constexpr std::uint16_t defaultCallersPort = 8080;
/** \brief Default TCP port for other daemons. */
constexpr std::uint16_t defaultPeersPort = 8081;
/** \brief Default TCP port for operators. */
constexpr std::uint16_t defaultOperatorsPort = 8082;

/** \brief Limits on the resources of one daemon that callers can use. */
struct CallerLimits {
    std::uint64_t bodyBytes = 1024 * 1024; ///< maximum size of a request body
    Duration headerTimeout = std::chrono::seconds(5); ///< time limit from the first byte of a request to the end of its header
    Duration idleTimeout = std::chrono::seconds(60); ///< a connection without a request is closed after this time
    std::uint32_t connections = 10'000; ///< maximum number of open connections from callers
    Duration drainTimeout = std::chrono::seconds(30); ///< time that a graceful stop waits for in-flight requests

    auto operator<=>(const CallerLimits&) const = default;
};

/** \brief Minimum severity of the lines that the daemon writes to its log. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** \returns "debug", "info", "warning" or "error" */
std::string_view name(LogLevel);

/** \brief Settings of one daemon process: its identity, its listening addresses and the addresses of the platform. */
class Settings {
public:
    class Builder;

    const DaemonId& daemon() const { return this->daemonId; }
    const FailureDomainId& failureDomain() const { return this->failureDomainId; }
    /** \returns the listening address for connections from the platform's load balancer */
    const SocketAddress& callers() const { return this->callersAddress; }
    /** \returns the listening address for other daemons */
    const SocketAddress& peers() const { return this->peersAddress; }
    /** \returns the listening address for operators, which serves metrics, health and status */
    const SocketAddress& operators() const { return this->operatorsAddress; }
    /** \returns the address of the platform's log */
    const SocketAddress& platformLog() const { return this->logAddress; }
    /** \returns the address of the platform's host list */
    const SocketAddress& platformHosts() const { return this->hostsAddress; }
    const CallerLimits& limits() const { return this->callerLimits; }
    LogLevel logLevel() const { return this->minimumLogLevel; }
    /** \returns the seed that makes the daemon's random choices reproducible; for tests only */
    std::optional<std::uint64_t> randomSeed() const { return this->seed; }

    bool operator==(const Settings&) const = default;

private:
    Settings() = default;

    DaemonId daemonId;
    FailureDomainId failureDomainId;
    SocketAddress callersAddress;
    SocketAddress peersAddress;
    SocketAddress operatorsAddress;
    SocketAddress logAddress;
    SocketAddress hostsAddress;
    CallerLimits callerLimits;
    LogLevel minimumLogLevel = LogLevel::Info;
    std::optional<std::uint64_t> seed;
};

/** \brief Builds Settings. */
class Settings::Builder {
public:
    Builder(DaemonId daemon, FailureDomainId failureDomain)
    {
        this->settings.daemonId = std::move(daemon);
        this->settings.failureDomainId = std::move(failureDomain);
    }

    Builder& callers(SocketAddress address)
    {
        this->settings.callersAddress = std::move(address);
        return *this;
    }
    Builder& peers(SocketAddress address)
    {
        this->settings.peersAddress = std::move(address);
        return *this;
    }
    Builder& operators(SocketAddress address)
    {
        this->settings.operatorsAddress = std::move(address);
        return *this;
    }
    Builder& platform(SocketAddress log, SocketAddress hosts)
    {
        this->settings.logAddress = std::move(log);
        this->settings.hostsAddress = std::move(hosts);
        return *this;
    }
    Builder& limits(CallerLimits limits)
    {
        this->settings.callerLimits = limits;
        return *this;
    }
    Builder& logLevel(LogLevel level)
    {
        this->settings.minimumLogLevel = level;
        return *this;
    }
    Builder& randomSeed(std::optional<std::uint64_t> seed)
    {
        this->settings.seed = seed;
        return *this;
    }
    Settings build() const { return this->settings; }

private:
    Settings settings;
};

using SettingsProblem = DocumentProblem;

/** \brief Parses and validates a daemon's settings.
 *
 * \returns the settings, or all problems sorted by line
 */
std::variant<Settings, std::vector<SettingsProblem>> parseSettings(std::string_view yaml);

/** \brief Documentation of one key of the settings. */
struct SettingsKey {
    std::string_view key; ///< path from the root, for example "limits.drainMs"
    std::string_view type; ///< type with its range and unit
    std::string_view sample; ///< the default value, or an example when the key has no default; empty when the key is only shown in a comment
    bool required = false;
    std::string_view meaning;
};

/** \returns every key that parseSettings() accepts, in the order of settingsSample() */
const std::vector<SettingsKey>& settingsReference();

/** \returns sample settings of one daemon as commented YAML, generated from settingsReference() */
std::string settingsSample();

}

#endif
