#include "InForceReporter.h"

#include <algorithm>
#include <utility>

namespace filbertspoke::internal {

namespace {

using namespace std::chrono_literals;

constexpr Duration delayForEachDaemon = 1s;
constexpr Duration shortestDelay = 2s;
constexpr std::size_t mostRevisions = 10'000; // kept while the log can't be reached; the oldest go first

}

void InForceReporter::plan(TimePoint now)
{
    if (!this->dueAt && this->sent.empty())
        this->dueAt = now + std::max<Duration>(shortestDelay, delayForEachDaemon * this->daemons);
}

void InForceReporter::take(LogOffset revision, const Now& now)
{
    this->waiting.push_back({ revision, now.wall() });
    if (this->waiting.size() > mostRevisions)
        this->waiting.erase(this->waiting.begin());
    this->plan(now.monotonic());
}

std::vector<RevisionInForce> InForceReporter::takeDue(TimePoint now)
{
    if (!this->dueAt || now < *this->dueAt)
        return {};
    this->dueAt.reset();
    this->sent = std::exchange(this->waiting, {});
    return this->sent;
}

void InForceReporter::failed(TimePoint now)
{
    this->waiting.insert(this->waiting.begin(), this->sent.begin(), this->sent.end());
    this->sent.clear();
    this->plan(now);
}

}
