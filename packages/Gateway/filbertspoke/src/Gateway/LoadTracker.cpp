#include <filbertspoke/Gateway>

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbertspoke {

namespace {

// Reports come several times a second; a daemon or group that sent none for this long counts as gone.
constexpr Duration reportLifetime = std::chrono::seconds(2);

// A report may contain work that its sender learned this long before: members report to their hub every 200 ms.
constexpr Duration reportDelay = std::chrono::milliseconds(200);
// Time constant of the moving average of the rate at which this daemon begins work: about the duration of a generation.
constexpr double rateSmoothingSeconds = 3;
// Largest share of an endpoint's capacity by which unknown work of others changes the choice. Engines whose speed differs by more than this are
// never exchanged for each other.
constexpr double maximumUnreportedShare = 0.25;

WorkInProgress find(const WorkByEndpoint& works, const EndpointId& endpoint)
{
    const auto work = works.find(endpoint);
    return work == works.end() ? WorkInProgress {} : work->second;
}

bool isIdle(const WorkInProgress& work)
{
    return work.requests < 0.5 && work.requestRate <= 0;
}

void add(WorkByEndpoint& sum, const WorkByEndpoint& works)
{
    for (const auto& [endpoint, work] : works)
        sum[endpoint] += work;
}

}

void LoadTracker::begin(const EndpointId& endpoint, const WorkInProgress& work)
{
    this->ownWork[endpoint] += work;
    this->begunSinceRefresh[endpoint] += work;
}

void LoadTracker::markRefreshed(std::size_t synchronizedPeers, TimePoint now)
{
    double begun = 0;
    for (const auto& [endpoint, work] : this->begunSinceRefresh)
        begun += work.tokenLayers;
    const double seconds = this->refreshedAt ? std::chrono::duration<double>(now - *this->refreshedAt).count() : 0;
    if (seconds > 0)
        this->beginningRate += (1 - std::exp(-seconds / rateSmoothingSeconds)) * (begun / seconds - this->beginningRate);
    this->refreshedAt = now;
    std::erase_if(this->missing, [now](const auto& entry) { return now - entry.second.refusedAt >= reportDelay; });
    this->begunSinceRefresh.clear();
    this->synchronizedDaemons = synchronizedPeers;
}

void LoadTracker::noteRefusal(const EndpointId& endpoint, double capacity, double needed, TimePoint now)
{
    MissingLoad& entry = this->missing[endpoint];
    const double knownFree = capacity - this->reported(endpoint).tokenLayers;
    // One more than the difference: the same work must not fit again. What other daemons are only assumed to begin is left out, because that
    // assumption ends with the next report.
    entry.tokenLayers = std::max(entry.tokenLayers, knownFree - needed + 1);
    entry.refusedAt = now;
}

double LoadTracker::unreportedShare(std::size_t otherDaemons, double layerShare, double capacity, TimePoint now) const
{
    if (otherDaemons == 0)
        return 0;
    if (!this->refreshedAt || now - *this->refreshedAt > reportLifetime || capacity <= 0)
        return maximumUnreportedShare;
    const double age = std::chrono::duration<double>(now - *this->refreshedAt + reportDelay / 2).count();
    const double begun = static_cast<double>(otherDaemons) * this->beginningRate * layerShare * age;
    return std::min(begun / capacity, maximumUnreportedShare);
}

void LoadTracker::end(const EndpointId& endpoint, const WorkInProgress& work)
{
    const auto entry = this->ownWork.find(endpoint);
    if (entry == this->ownWork.end())
        return;
    entry->second -= work;
    if (isIdle(entry->second))
        this->ownWork.erase(entry);
}

void LoadTracker::setRequestRates(const std::map<EndpointId, double>& rates)
{
    for (auto& [endpoint, work] : this->ownWork)
        work.requestRate = 0;
    for (const auto& [endpoint, rate] : rates)
        this->ownWork[endpoint].requestRate = rate;
    std::erase_if(this->ownWork, [](const auto& entry) { return isIdle(entry.second); });
}

void LoadTracker::replaceMemberLoad(const DaemonId& member, WorkByEndpoint work, TimePoint now)
{
    this->members.insert_or_assign(member, LoadReport { std::move(work), now });
}

void LoadTracker::replaceGroupLoad(const std::string& group, WorkByEndpoint work, TimePoint now)
{
    this->groups.insert_or_assign(group, LoadReport { std::move(work), now });
}

void LoadTracker::clearRemoteLoads()
{
    this->members.clear();
    this->groups.clear();
}

void LoadTracker::expire(TimePoint now)
{
    const auto isExpired = [now](const auto& entry) { return now - entry.second.receivedAt > reportLifetime; };
    std::erase_if(this->members, isExpired);
    std::erase_if(this->groups, isExpired);
    std::erase_if(this->missing, [now](const auto& entry) { return now - entry.second.refusedAt > reportLifetime; });
}

WorkInProgress LoadTracker::reported(const EndpointId& endpoint) const
{
    WorkInProgress sum = find(this->ownWork, endpoint);
    for (const auto& [member, report] : this->members)
        sum += find(report.work, endpoint);
    for (const auto& [group, report] : this->groups)
        sum += find(report.work, endpoint);
    return sum;
}

WorkInProgress LoadTracker::total(const EndpointId& endpoint) const
{
    WorkInProgress sum = this->reported(endpoint);
    if (const auto unknown = this->missing.find(endpoint); unknown != this->missing.end())
        sum.tokenLayers += unknown->second.tokenLayers;
    const WorkInProgress begun = find(this->begunSinceRefresh, endpoint);
    const auto synchronizedPeers = static_cast<double>(this->synchronizedDaemons);
    sum += { begun.requests * synchronizedPeers, begun.tokenLayers * synchronizedPeers, 0 };
    return sum;
}

WorkByEndpoint LoadTracker::withMembers() const
{
    WorkByEndpoint sum = this->ownWork;
    for (const auto& [member, report] : this->members)
        add(sum, report.work);
    return sum;
}

WorkByEndpoint LoadTracker::withoutMember(const DaemonId& excluded) const
{
    WorkByEndpoint sum = this->ownWork;
    for (const auto& [member, report] : this->members) {
        if (member != excluded)
            add(sum, report.work);
    }
    for (const auto& [group, report] : this->groups)
        add(sum, report.work);
    return sum;
}

}
