#ifndef FILBERTSPOKE_REQUEST_RATE_LIMITS_H
#define FILBERTSPOKE_REQUEST_RATE_LIMITS_H

#include "EndpointRegistry.h"

#include <filbertspoke/Core>

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace filbertspoke {

/** \brief What an endpoint's answers last said about the rate of requests that it accepts from all daemons together. */
struct RateLimitReport {
    EndpointRun run;
    std::optional<double> requestsPerSecond; ///< nothing when the last answer named no limit any more
    Duration age {}; ///< time since that answer

    auto operator<=>(const RateLimitReport&) const = default;
};

/** \brief The daemons that send requests to an endpoint. */
struct RequestSources {
    std::size_t daemons = 1; ///< of the site, including this one
    std::size_t neighbours = 1; ///< of them in the failure domain of the endpoint
    bool sameDomain = true; ///< whether this daemon is in that failure domain

    auto operator<=>(const RequestSources&) const = default;
};

/** \brief Divides the request rates that endpoints accept from all daemons together among the daemons.
 *
 * Load pattern: most endpoints of a service accept half of the usual requests for some twenty seconds, while the callers send as many as
 * before. No daemon sees the requests of the others, and their shares of the traffic differ.
 *
 * Daemons exchange the limits and the rates at which they use limited endpoints. A daemon's share of a limit grows with its part of that
 * use: daemons that want more than an equal share get what the others leave unused, and the shares add up to the limit. A token bucket
 * enforces the share. Where there are many more daemons than the limit allows requests in a second, only a part of them uses the endpoint
 * at a time, so that unused tokens of all daemons together can't exceed the limit by much.
 *
 * Does no input or output.
 */
class RequestRateLimits {
public:
    /** \param seed by which daemons choose different endpoints when only a part of them uses each */
    explicit RequestRateLimits(std::size_t seed)
        : seed(seed)
    {
    }

    /** \brief Records what an answer of the endpoint says.
     * \param requestsPerSecond nothing when the answer names no limit
     * \returns whether the limit changed */
    bool noteAnswer(const EndpointRun&, std::optional<double> requestsPerSecond, TimePoint now);
    /** \brief Adds the reports of another daemon; of two reports on a run the newer answer decides. */
    void merge(const std::vector<RateLimitReport>&, TimePoint now);
    /** \returns what this daemon knows of limits that are in force or ended recently */
    std::vector<RateLimitReport> reports(TimePoint now) const;

    /** \brief Sets how the limit of an endpoint is shared. The limit of an earlier run ends.
     * \param othersRate requests per second that the other daemons send to the endpoint */
    void setSources(const EndpointRun&, const RequestSources&, double othersRate, TimePoint now);
    /** \brief Forgets an endpoint that is gone. */
    void forget(const EndpointId& endpoint) { this->states.erase(endpoint); }

    /** \returns the limit of the endpoint in requests per second, or nothing */
    std::optional<double> limit(const EndpointId&) const;
    /** \returns the share of the limit that this daemon uses, in requests per second; 0 for an endpoint without a limit */
    double share(const EndpointId&) const;
    /** \returns the time until this daemon may send a request to the endpoint; zero without a limit, and nothing while other daemons
     * use the endpoint in place of this one */
    std::optional<Duration> delay(const EndpointId&, TimePoint now) const;
    /** \returns whether a request may be sent to the endpoint now */
    bool permits(const EndpointId& endpoint, TimePoint now) const { return this->delay(endpoint, now) == Duration::zero(); }
    /** \brief Counts a request of this daemon. It need not be permitted: later ones then wait longer. */
    void noteSent(const EndpointId&, TimePoint now);
    /** \returns the rates at which this daemon sends requests to endpoints with a limit, in requests per second */
    std::map<EndpointId, double> ownRates(TimePoint now) const;
    /** \brief Forgets limits that no answer has confirmed for a long time. */
    void expire(TimePoint now);

private:
    struct State {
        EndpointRun run;
        std::optional<double> limit;
        TimePoint answeredAt; ///< time of the answer that named the limit, or none any more
        RequestSources sources;
        double share = 0; ///< in requests per second
        double tokens = 0; ///< requests that may be sent at updatedAt; negative after requests that were not permitted
        TimePoint updatedAt;
        std::deque<TimePoint> sent; ///< requests of this daemon within the rate window
    };

    static double ownRate(const State&, TimePoint now);
    /** \returns the number of daemons that use the endpoint at a time */
    static double users(const State&);
    static double burst(const State&);
    static double tokensAt(const State&, TimePoint now);
    /** \returns whether this daemon is among those that use the endpoint at this time */
    bool isUser(const EndpointId&, const State&, TimePoint now) const;
    bool note(const RateLimitReport&, TimePoint now);
    static void refill(State&, TimePoint now);

    std::size_t seed;
    std::map<EndpointId, State> states;
};

}

#endif
