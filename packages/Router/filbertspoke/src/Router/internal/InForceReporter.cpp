#include "InForceReporter.h"

#include <algorithm>
#include <utility>

namespace filbertspoke::internal {

namespace {

using namespace std::chrono_literals;

constexpr Duration delayPerDaemon = 1s;
constexpr Duration minimumDelay = 2s;
constexpr std::size_t maximumPendingRevisions = 10'000; // kept while the log is unreachable; the oldest are dropped first

}

void InForceReporter::schedule(TimePoint now)
{
    if (!this->dueAt && this->inFlight.empty())
        this->dueAt = now + std::max<Duration>(minimumDelay, delayPerDaemon * this->daemons);
}

void InForceReporter::take(LogOffset revision, const Now& now)
{
    this->pending.push_back({ revision, now.wall() });
    if (this->pending.size() > maximumPendingRevisions)
        this->pending.erase(this->pending.begin());
    this->schedule(now.monotonic());
}

std::vector<RevisionInForce> InForceReporter::takeDue(TimePoint now)
{
    if (!this->dueAt || now < *this->dueAt)
        return {};
    this->dueAt.reset();
    this->inFlight = std::exchange(this->pending, {});
    return this->inFlight;
}

void InForceReporter::failed(TimePoint now)
{
    this->pending.insert(this->pending.begin(), this->inFlight.begin(), this->inFlight.end());
    this->inFlight.clear();
    this->schedule(now);
}

}
