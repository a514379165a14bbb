#include <filbertspoke/Gateway>

#include <algorithm>
#include <functional>
#include <limits>
#include <string>

namespace filbertspoke {

namespace {

// Requests of this time determine the rate at which a daemon uses an endpoint.
constexpr Duration rateWindow = std::chrono::seconds(2);
// Unused part of a share that may be sent at once; at least one request.
constexpr Duration burstTime = std::chrono::milliseconds(500);
// Part of a limit that is divided equally, so that daemons without requests so far can begin.
constexpr double equalPart = 0.15;
// Time in which a share grows to its target. A daemon that wants more waits until the others have noticed that they get less.
constexpr Duration growthTime = std::chrono::milliseconds(1000);
// Lowest rate of all daemons together: without any request, nobody would learn that an endpoint accepts more again.
constexpr double minimumRate = 0.25;
// Number of daemons that use an endpoint at a time, beyond one for each request per second of its limit. Each may send one request after
// a pause, all of them at the same moment.
constexpr double additionalUsers = 4;
// Part of the users of an endpoint that is chosen from its failure domain.
constexpr double sameDomainPart = 0.75;
// After this time, other daemons use the endpoint.
constexpr Duration rotationInterval = std::chrono::seconds(20);
// Time for which the end of a limit is passed on; longer than the report of the limit needs to reach all daemons.
constexpr Duration endedLifetime = std::chrono::seconds(10);
constexpr Duration limitLifetime = std::chrono::minutes(10);

// Makes the phase of a daemon's requests independent of the choice of the daemons.
constexpr std::int64_t phaseSalt = std::int64_t { 1 } << 32;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** \returns a number in [0, 1) that depends on all arguments */
double hashFraction(const EndpointId& endpoint, std::size_t seed, std::int64_t rotation)
{
    const std::size_t hash = std::hash<std::string> {}(endpoint.str() + '/' + std::to_string(seed) + '/' + std::to_string(rotation));
    return static_cast<double>(hash) / (static_cast<double>(std::numeric_limits<std::size_t>::max()) + 1);
}

}

double RequestRateLimits::ownRate(const State& state, TimePoint now)
{
    const auto recent = std::count_if(state.sent.begin(), state.sent.end(), [now](TimePoint at) { return now - at < rateWindow; });
    return static_cast<double>(recent) / seconds(rateWindow);
}

double RequestRateLimits::users(const State& state)
{
    return std::min(static_cast<double>(state.sources.daemons), *state.limit + additionalUsers);
}

double RequestRateLimits::burst(const State& state)
{
    return std::max(1.0, state.share * seconds(burstTime));
}

bool RequestRateLimits::isUser(const EndpointId& endpoint, const State& state, TimePoint now) const
{
    const auto daemons = static_cast<double>(state.sources.daemons);
    const double count = users(state);
    if (count >= daemons)
        return true;
    const auto neighbours = static_cast<double>(std::max<std::size_t>(state.sources.neighbours, 1));
    const double near = std::min(1.0, sameDomainPart * count / neighbours);
    const double probability = state.sources.sameDomain ? near : (count - near * neighbours) / std::max(1.0, daemons - neighbours);
    return hashFraction(endpoint, this->seed, now.time_since_epoch() / rotationInterval) < probability;
}

double RequestRateLimits::tokensAt(const State& state, TimePoint now)
{
    return std::min(burst(state), state.tokens + state.share * seconds(now - state.updatedAt));
}

void RequestRateLimits::refill(State& state, TimePoint now)
{
    state.tokens = tokensAt(state, now);
    state.updatedAt = now;
}

bool RequestRateLimits::note(const RateLimitReport& report, TimePoint now)
{
    const TimePoint answeredAt = now - report.age;
    auto entry = this->states.find(report.run.endpoint);
    if (entry == this->states.end() && !report.requestsPerSecond)
        return false;
    if (entry != this->states.end()) {
        const State& known = entry->second;
        if (report.run.startedAtMs < known.run.startedAtMs || (report.run == known.run && answeredAt <= known.answeredAt))
            return false;
        if (report.run != known.run)
            this->states.erase(entry);
    }
    entry = this->states.try_emplace(report.run.endpoint).first;
    State& state = entry->second;
    const bool changed = state.limit != report.requestsPerSecond;
    state.run = report.run;
    state.answeredAt = answeredAt;
    if (!state.limit) {
        state.updatedAt = now;
        state.tokens = 1;
        state.share = 0;
    }
    state.limit = report.requestsPerSecond;
    return changed;
}

bool RequestRateLimits::noteAnswer(const EndpointRun& run, std::optional<double> requestsPerSecond, TimePoint now)
{
    return this->note({ run, requestsPerSecond, {} }, now);
}

void RequestRateLimits::merge(const std::vector<RateLimitReport>& reports, TimePoint now)
{
    for (const RateLimitReport& report : reports)
        this->note(report, now);
}

std::vector<RateLimitReport> RequestRateLimits::reports(TimePoint now) const
{
    std::vector<RateLimitReport> reports;
    for (const auto& [endpoint, state] : this->states) {
        if (state.limit || now - state.answeredAt < endedLifetime)
            reports.push_back({ state.run, state.limit, std::max<Duration>(now - state.answeredAt, Duration::zero()) });
    }
    return reports;
}

void RequestRateLimits::setSources(const EndpointRun& run, const RequestSources& sources, double othersRate, TimePoint now)
{
    const auto entry = this->states.find(run.endpoint);
    if (entry == this->states.end() || !entry->second.limit)
        return;
    if (run.startedAtMs > entry->second.run.startedAtMs) {
        this->states.erase(entry);
        return;
    }
    State& state = entry->second;
    const double growth = std::min(1.0, seconds(now - state.updatedAt) / seconds(growthTime));
    const bool usedBefore = this->isUser(run.endpoint, state, state.updatedAt);
    refill(state, now);
    state.sources = sources;
    // Daemons that begin to use the endpoint together send their first requests at different times.
    if (!usedBefore || state.share <= 0)
        state.tokens = std::min(state.tokens, hashFraction(run.endpoint, this->seed, now.time_since_epoch() / rotationInterval + phaseSalt));
    const double limit = std::max(*state.limit, minimumRate);
    const double equalShare = limit / users(state);
    const double own = ownRate(state, now);
    const double target = limit * (own + equalPart * equalShare) / (own + std::max(othersRate, 0.0) + equalPart * limit);
    if (state.share <= 0)
        state.share = std::min(equalShare, target);
    else
        state.share = target < state.share ? target : state.share + (target - state.share) * growth;
}

std::optional<double> RequestRateLimits::limit(const EndpointId& endpoint) const
{
    const auto entry = this->states.find(endpoint);
    return entry == this->states.end() ? std::nullopt : entry->second.limit;
}

double RequestRateLimits::share(const EndpointId& endpoint) const
{
    return this->limit(endpoint) ? this->states.at(endpoint).share : 0;
}

std::optional<Duration> RequestRateLimits::delay(const EndpointId& endpoint, TimePoint now) const
{
    const auto entry = this->states.find(endpoint);
    if (entry == this->states.end() || !entry->second.limit)
        return Duration::zero();
    const State& state = entry->second;
    if (state.share <= 0 || !this->isUser(endpoint, state, now))
        return std::nullopt;
    const double missing = 1 - tokensAt(state, now);
    // Rounded up, so that the request is permitted after the delay.
    return missing <= 0 ? Duration::zero() : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / state.share)) + Duration(1);
}

void RequestRateLimits::noteSent(const EndpointId& endpoint, TimePoint now)
{
    const auto entry = this->states.find(endpoint);
    if (entry == this->states.end() || !entry->second.limit)
        return;
    State& state = entry->second;
    state.tokens -= 1;
    state.sent.push_back(now);
    while (now - state.sent.front() >= rateWindow)
        state.sent.pop_front();
}

std::map<EndpointId, double> RequestRateLimits::ownRates(TimePoint now) const
{
    std::map<EndpointId, double> rates;
    for (const auto& [endpoint, state] : this->states) {
        if (state.limit)
            rates.emplace(endpoint, ownRate(state, now));
    }
    return rates;
}

void RequestRateLimits::expire(TimePoint now)
{
    std::erase_if(this->states, [now](const auto& entry) {
        const State& state = entry.second;
        return now - state.answeredAt >= (state.limit ? limitLifetime : endedLifetime);
    });
}

}
