#include <filbertspoke/Gateway>

#include <algorithm>

namespace filbertspoke {

namespace {

// An engine that gives up layers shows that in its registry entry about a second later; its memory becomes free with each generation that ends.
constexpr Duration initialPause = std::chrono::milliseconds(500);
// Generations take a few seconds, after which the engine has memory again.
constexpr Duration maximumPause = std::chrono::seconds(4);
// Fraction of the pause that is added at random.
constexpr double pauseSpread = 0.25;
// The same for a pause that another gateway reported: gateways return over a time in which those that were refused once more are heard of.
constexpr double reportedPauseSpread = 1;
// Reports of the same pause differ by the time that messages take. A link at capacity delays them by up to a few hundred milliseconds.
constexpr Duration reportTolerance = std::chrono::milliseconds(300);

}

std::optional<Duration> RefusalBackoff::noteRefusal(TimePoint sentAt, double draw, TimePoint now)
{
    const bool counted = this->refusedAt && sentAt < this->pauseBegunAt;
    this->refusedAt = now;
    if (counted)
        return std::nullopt;
    // The level says nothing about an engine that was not tried for as long as its generations take.
    if (now - this->pauseUntil >= maximumPause)
        this->pauses = 0;
    const auto doublings = std::min<std::uint32_t>(this->pauses, 3);
    const Duration base = std::min<Duration>(initialPause * (1 << doublings), maximumPause);
    const Duration pause = base + scaled(base, pauseSpread * draw);
    ++this->pauses;
    this->pauseBegunAt = now;
    this->pauseUntil = now + pause;
    return pause;
}

std::optional<Duration> RefusalBackoff::noteReport(Duration remaining, double draw, TimePoint now)
{
    const Duration rest = std::min(remaining, maximumPause + scaled(maximumPause, pauseSpread));
    if (rest <= Duration::zero() || (this->reportedAt && now + rest <= this->reportedUntil + reportTolerance))
        return std::nullopt;
    this->reportedAt = now;
    this->reportedUntil = now + rest;
    const Duration pause = rest + scaled(std::max(rest, initialPause), reportedPauseSpread * draw);
    this->reportPauseUntil = now + pause;
    return pause;
}

void RefusalBackoff::noteSuccess(TimePoint begun)
{
    if (this->refusedAt && begun >= *this->refusedAt) {
        this->refusedAt.reset();
        this->pauses = 0;
        this->pauseUntil = begun;
    }
    // The end of the reported pause is kept, so that the next report of the same pause does not begin it again.
    if (this->reportedAt && begun >= *this->reportedAt)
        this->reportPauseUntil = std::min(this->reportPauseUntil, begun);
}

bool RefusalBackoff::isPausing(TimePoint now) const
{
    return this->ownRemaining(now) || this->hasJustRefused(now) || (this->reportedAt && now < this->reportPauseUntil);
}

bool RefusalBackoff::hasJustRefused(TimePoint now) const
{
    return this->refusedAt && now - *this->refusedAt < initialPause;
}

std::optional<Duration> RefusalBackoff::knownRemaining(TimePoint now) const
{
    const bool reported = this->reportedAt && now < std::min(this->reportedUntil, this->reportPauseUntil);
    const Duration ofOthers = reported ? Duration(this->reportedUntil - now) : Duration::zero();
    const Duration longest = std::max(this->ownRemaining(now).value_or(Duration::zero()), ofOthers);
    return longest > Duration::zero() ? std::optional(longest) : std::nullopt;
}

std::optional<TimePoint> RefusalBackoff::lastRefusal(TimePoint now) const
{
    if (!this->reportedAt || now >= this->reportPauseUntil)
        return this->refusedAt;
    return this->refusedAt ? std::max(*this->refusedAt, *this->reportedAt) : *this->reportedAt;
}

std::optional<Duration> RefusalBackoff::ownRemaining(TimePoint now) const
{
    if (!this->refusedAt || now >= this->pauseUntil)
        return std::nullopt;
    return this->pauseUntil - now;
}

}
