#ifndef FILBERTSPOKE_REFUSAL_BACKOFF_H
#define FILBERTSPOKE_REFUSAL_BACKOFF_H

#include <filbertspoke/Core>

#include <cstdint>
#include <optional>

namespace filbertspoke {

/** \brief Time for which one gateway prefers other endpoints to one that refuses its requests.
 *
 * Load pattern: an engine without free memory refuses for seconds, and each of many gateways tries it again after every pause. With 84 gateways
 * and a fixed pause of 500 ms, such an engine gets about 100 requests per second that it can only refuse. The pause therefore doubles with each
 * further refusal, and a random part keeps gateways that were refused together from returning together.
 *
 * Reports of other gateways are kept apart from the own pause: neither changes the other.
 */
class RefusalBackoff {
public:
    /** \brief Records a refusal. Requests that were sent before the last pause began count as one with the refusal that began it.
     * \param sentAt when the refused request was sent
     * \param draw random number in [0, 1), which adds up to a quarter to the pause
     * \returns the pause that begins now, or nothing when the refusal counts as one with an earlier one */
    std::optional<Duration> noteRefusal(TimePoint sentAt, double draw, TimePoint now);
    /** \brief Records that another gateway does not use the endpoint for \a remaining from now on.
     * \param draw random number in [0, 1), which delays the return, so that not all gateways that got the report return together
     * \returns the pause that begins now, or nothing when the report repeats a known pause */
    std::optional<Duration> noteReport(Duration remaining, double draw, TimePoint now);
    /** \brief Ends the pauses if the exchange began after the refusal, or after the report of one.
     * \param begun when the successful exchange began */
    void noteSuccess(TimePoint begun);

    /** \returns whether the endpoint gets work only when there is no way without it */
    bool isPausing(TimePoint now) const;
    /** \returns whether the endpoint refused this gateway so shortly ago that it must not get work even when there is no way without it */
    bool hasJustRefused(TimePoint now) const;
    /** \returns the rest of the pause that the endpoint's refusals to this gateway began, or nothing */
    std::optional<Duration> ownRemaining(TimePoint now) const;

    /** \returns the rest of the longest pause without its random part, own or reported, that a hub passes on; nothing when there is none */
    std::optional<Duration> knownRemaining(TimePoint now) const;
    /** \returns when the endpoint last refused this gateway, or was last reported to refuse another one in a pause that lasts, since new work last
     * succeeded */
    std::optional<TimePoint> lastRefusal(TimePoint now) const;

    auto operator<=>(const RefusalBackoff&) const = default;

private:
    std::uint32_t pauses = 0; ///< begun in succession
    std::optional<TimePoint> refusedAt; ///< last refusal
    TimePoint pauseBegunAt {};
    TimePoint pauseUntil {};
    std::optional<TimePoint> reportedAt; ///< last report of a pause that was not known
    TimePoint reportedUntil {}; ///< latest end of the reported pauses
    TimePoint reportPauseUntil {};
};

}

#endif
