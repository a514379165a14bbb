#ifndef FILBERTSPOKE_SERVICE_CONFIGURATION_H
#define FILBERTSPOKE_SERVICE_CONFIGURATION_H

#include <filbertspoke/Core>

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspoke {

/** \brief Retry and hedging policy of the calls with one method below one path. */
struct RouteRule {
    std::string method; ///< "GET", "POST" and so on, or "*" for every method
    std::string pathPrefix; ///< starts with '/'
    bool idempotent = false; ///< may be retried after a failure
    bool hedged = false; ///< a second endpoint gets the call as well when the first one is slow

    /** \returns whether the rule covers the call; the prefix matches whole path segments only */
    bool matches(std::string_view callMethod, std::string_view callPath) const;

    auto operator<=>(const RouteRule&) const = default;
};

/** \brief A plain service and the rules for its calls. */
struct ServiceConfiguration {
    ServiceId id;
    std::vector<RouteRule> rules; ///< in order of precedence: the first rule that matches applies
    Duration deadline {}; ///< time limit of a call whose caller gives none

    /** \brief Finds the rule that applies to a call.
     *
     * No rule applies to a path that a service may resolve to another path (dot segments, encoded separators).
     * \returns the rule, or null when none applies
     */
    const RouteRule* findRule(std::string_view method, std::string_view path) const;

    auto operator<=>(const ServiceConfiguration&) const = default;
};

}

#endif
