#ifndef FILBERTSPOKE_GATEWAY_SETTINGS_H
#define FILBERTSPOKE_GATEWAY_SETTINGS_H

#include "DocumentProblem.h"
#include "Settings.h"
#include "SocketAddress.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief Limits of the retry budget that all daemons share. */
struct RetryBudgetSettings {
    double ratio = 0.1; ///< allowed retries per request
    double reserve = 50; ///< retries allowed in addition to the ratio, for all daemons together in the same period

    auto operator<=>(const RetryBudgetSettings&) const = default;
};

/** \brief Settings of one gateway process, read at its start. */
struct GatewaySettings {
    DaemonId daemon;
    FailureDomainId failureDomain;
    SocketAddress callers; ///< listening address for the load balancer's connections
    SocketAddress readiness; ///< listening address for the load balancer's readiness checks
    std::optional<SocketAddress> peers; ///< listening address for other daemons; none disables the exchange with them
    std::optional<SocketAddress> handover; ///< listening address for requests that other daemons can't serve themselves; none to take none
    std::optional<SocketAddress> metrics; ///< listening address for requests for metrics, if any
    std::vector<SocketAddress> seeds; ///< initial addresses of other daemons
    SocketAddress store; ///< address of the store
    Duration heartbeatInterval = std::chrono::seconds(1); ///< at which endpoints write their entries in the registry
    RetryBudgetSettings retryBudget;
    Duration stopTimeout = std::chrono::seconds(8); ///< time from the request to stop until the process is killed
    std::size_t requestMemoryBytes = std::size_t { 64 } << 20; ///< memory limit of all requests that are read or in progress
    LogLevel logLevel = LogLevel::Info;

    bool operator==(const GatewaySettings&) const = default;
};

/** \brief Parses and validates a gateway's settings.
 *
 * \returns the settings, or all problems sorted by line
 */
std::variant<GatewaySettings, std::vector<DocumentProblem>> parseGatewaySettings(std::string_view yaml);

}

#endif
