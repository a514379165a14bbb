#ifndef FILBERTSPOKE_SERVICE_CONFIGURATION_H
#define FILBERTSPOKE_SERVICE_CONFIGURATION_H

#include <filbertspoke/Core>

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspoke {

/** \brief How calls with one method below one path are treated. */
struct RouteRule {
    std::string method; ///< "GET", "POST" and so on, or "*" for every method
    std::string pathPrefix; ///< starts with '/'
    bool idempotent = false; ///< may be repeated after a failure
    bool hedged = false; ///< needed at once: a second endpoint is asked when the first is slow

    /** \returns whether the rule covers the call; the prefix ends at a segment of the path */
    bool matches(std::string_view callMethod, std::string_view callPath) const;

    auto operator<=>(const RouteRule&) const = default;
};

/** \brief A plain service and which of its calls are idempotent. */
struct ServiceConfiguration {
    ServiceId id;
    std::vector<RouteRule> rules; ///< the first rule that matches decides
    Duration deadline {}; ///< applies where the caller names none

    /** \brief Finds how a call is treated.
     *
     * A path that a service may resolve to another one (dot segments, encoded separators) has no rule.
     * \returns the rule for a call, or null when the service has no such path
     */
    const RouteRule* findRule(std::string_view method, std::string_view path) const;

    auto operator<=>(const ServiceConfiguration&) const = default;
};

}

#endif
