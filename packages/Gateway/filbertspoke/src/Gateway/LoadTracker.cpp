#include <filbertspoke/Gateway>

#include <utility>

namespace filbertspoke {

namespace {

// Words come several times a second; after this long without one, a daemon or a group counts as gone.
constexpr Duration wordLifetime = std::chrono::seconds(2);

WorkInProgress find(const WorkByEndpoint& works, const EndpointId& endpoint)
{
    const auto work = works.find(endpoint);
    return work == works.end() ? WorkInProgress {} : work->second;
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
    this->begunSinceMark[endpoint] += work;
}

void LoadTracker::markRefreshed(std::size_t alike)
{
    this->begunSinceMark.clear();
    this->alikeDaemons = alike;
}

void LoadTracker::end(const EndpointId& endpoint, const WorkInProgress& work)
{
    const auto entry = this->ownWork.find(endpoint);
    if (entry == this->ownWork.end())
        return;
    entry->second -= work;
    if (entry->second.requests < 0.5)
        this->ownWork.erase(entry);
}

void LoadTracker::replaceMemberLoad(const DaemonId& member, WorkByEndpoint work, TimePoint now)
{
    this->members.insert_or_assign(member, Word { std::move(work), now });
}

void LoadTracker::replaceGroupLoad(const std::string& group, WorkByEndpoint work, TimePoint now)
{
    this->groups.insert_or_assign(group, Word { std::move(work), now });
}

void LoadTracker::clearRemoteLoads()
{
    this->members.clear();
    this->groups.clear();
}

void LoadTracker::expire(TimePoint now)
{
    const auto isOld = [now](const auto& entry) { return now - entry.second.saidAt > wordLifetime; };
    std::erase_if(this->members, isOld);
    std::erase_if(this->groups, isOld);
}

WorkInProgress LoadTracker::total(const EndpointId& endpoint) const
{
    WorkInProgress sum = find(this->ownWork, endpoint);
    for (const auto& [member, word] : this->members)
        sum += find(word.work, endpoint);
    for (const auto& [group, word] : this->groups)
        sum += find(word.work, endpoint);
    const WorkInProgress begun = find(this->begunSinceMark, endpoint);
    const auto alike = static_cast<double>(this->alikeDaemons);
    sum += { begun.requests * alike, begun.tokenLayers * alike };
    return sum;
}

WorkByEndpoint LoadTracker::withMembers() const
{
    WorkByEndpoint sum = this->ownWork;
    for (const auto& [member, word] : this->members)
        add(sum, word.work);
    return sum;
}

WorkByEndpoint LoadTracker::withoutMember(const DaemonId& excluded) const
{
    WorkByEndpoint sum = this->ownWork;
    for (const auto& [member, word] : this->members) {
        if (member != excluded)
            add(sum, word.work);
    }
    for (const auto& [group, word] : this->groups)
        add(sum, word.work);
    return sum;
}

}
