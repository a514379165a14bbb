#include <filbertspoke/Gateway>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace {

constexpr std::size_t requiredCrashes = 3;
// Engines that crash within this time of each other count as one crash: a failing host, rack or network takes several with it.
constexpr Duration crashSpacing = std::chrono::milliseconds(25);
// Within this time after the last required crash, nearly all daemons have heard of each other's observations, over up to three exchanges
// of 200 ms at most each.
constexpr Duration propagationTime = std::chrono::milliseconds(500);
// Requests without the part that must have been served meanwhile: when the whole service fails, its requests tell nothing of a part.
constexpr std::size_t requiredOthersServed = 3;
constexpr Duration suspectLifetime = std::chrono::seconds(30);
// Evidence that a part is sound is passed on for this time.
constexpr Duration clearedLifetime = std::chrono::seconds(5);
constexpr Duration quarantineLifetime = std::chrono::minutes(10);
constexpr Duration servedLifetime = std::chrono::minutes(10);
constexpr std::size_t maximumServedParts = 4096;
constexpr std::size_t maximumSuspects = 256;
constexpr std::size_t maximumEvidence = 32;
constexpr std::size_t maximumCrashes = 32;

}

std::vector<TimePoint> PromptQuarantine::separateCrashes(const Crashes& crashes)
{
    std::vector<TimePoint> times;
    times.reserve(crashes.size());
    for (const auto& [run, at] : crashes)
        times.push_back(at);
    std::sort(times.begin(), times.end());
    std::vector<TimePoint> separate;
    for (const TimePoint at : times) {
        if (separate.empty() || at - separate.back() >= crashSpacing)
            separate.push_back(at);
    }
    return separate;
}

TimePoint PromptQuarantine::lastCrashAt(const Suspect& suspect)
{
    TimePoint last;
    for (const auto& [run, at] : suspect.crashes)
        last = std::max(last, at);
    return last;
}

void PromptQuarantine::clear(Suspect& suspect, TimePoint at)
{
    if (suspect.servedAt && *suspect.servedAt >= at)
        return;
    suspect.servedAt = at;
    if (std::erase_if(suspect.crashes, [at](const auto& crash) { return crash.second <= at; }) == 0)
        return;
    suspect.othersServed = 0;
    suspect.quarantinedElsewhere = false;
}

void PromptQuarantine::noteCrash(const std::vector<PromptPartId>& parts, const EndpointRun& run, TimePoint now)
{
    for (const PromptPartId& part : parts) {
        if (this->suspects.size() >= maximumSuspects && !this->suspects.contains(part))
            this->forget(now);
        if (this->suspects.size() >= maximumSuspects && !this->suspects.contains(part))
            return;
        const auto [entry, added] = this->suspects.try_emplace(part);
        Suspect& suspect = entry->second;
        const auto served = this->servedAt.find(part);
        if (added && served != this->servedAt.end())
            suspect.servedAt = served->second;
        if (suspect.crashes.empty())
            suspect.othersServed = 0;
        suspect.crashes.try_emplace(run, now);
    }
}

void PromptQuarantine::noteServed(const std::vector<PromptPartId>& parts, TimePoint now)
{
    if (this->servedAt.size() >= maximumServedParts)
        std::erase_if(this->servedAt, [now](const auto& entry) { return now - entry.second >= servedLifetime; });
    if (this->servedAt.size() >= maximumServedParts)
        this->servedAt.clear();
    for (const PromptPartId& part : parts)
        this->servedAt.insert_or_assign(part, now);
    for (auto& [part, suspect] : this->suspects) {
        if (std::find(parts.begin(), parts.end(), part) != parts.end())
            clear(suspect, now);
        else
            ++suspect.othersServed;
    }
}

std::vector<PromptPartEvidence> PromptQuarantine::evidence(TimePoint now) const
{
    std::vector<Suspects::const_iterator> order;
    for (auto suspect = this->suspects.begin(); suspect != this->suspects.end(); ++suspect)
        order.push_back(suspect);
    std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
        return std::make_pair(a->second.quarantined, a->second.crashes.size()) > std::make_pair(b->second.quarantined, b->second.crashes.size());
    });
    order.resize(std::min(order.size(), maximumEvidence));
    std::vector<PromptPartEvidence> evidence;
    for (const auto& entry : order) {
        PromptPartEvidence& part = evidence.emplace_back();
        part.part = entry->first;
        part.quarantined = entry->second.quarantined;
        if (entry->second.servedAt)
            part.servedAge = now - *entry->second.servedAt;
        for (const auto& [run, at] : entry->second.crashes) {
            if (part.crashes.size() < maximumCrashes)
                part.crashes.push_back({ run, now - at });
        }
    }
    return evidence;
}

void PromptQuarantine::merge(const std::vector<PromptPartEvidence>& evidence, TimePoint now)
{
    for (const PromptPartEvidence& reported : evidence) {
        for (const EngineCrash& crash : reported.crashes) {
            const auto known = this->suspects.find(reported.part);
            const bool cleared = known != this->suspects.end() && known->second.servedAt && *known->second.servedAt >= now - crash.age;
            if (!cleared)
                this->noteCrash({ reported.part }, crash.run, now - crash.age);
        }
        const auto suspect = this->suspects.find(reported.part);
        if (suspect == this->suspects.end())
            continue;
        if (reported.servedAge)
            clear(suspect->second, now - *reported.servedAge);
        suspect->second.quarantinedElsewhere = suspect->second.quarantinedElsewhere || (reported.quarantined && separateCrashes(suspect->second.crashes).size() >= requiredCrashes);
    }
}

bool PromptQuarantine::hasEnoughEvidence(const Suspect& suspect, TimePoint now)
{
    const std::vector<TimePoint> crashes = separateCrashes(suspect.crashes);
    if (crashes.size() < requiredCrashes)
        return false;
    if (suspect.quarantined || suspect.quarantinedElsewhere)
        return true;
    return suspect.othersServed >= requiredOthersServed && now - crashes[requiredCrashes - 1] >= propagationTime;
}

bool PromptQuarantine::isExplained(const PromptPartId& part, const Suspect& suspect, TimePoint now) const
{
    return std::any_of(this->suspects.begin(), this->suspects.end(), [&](const auto& entry) {
        const Suspect& other = entry.second;
        const bool servedLessRecently = suspect.servedAt && (!other.servedAt || *other.servedAt < *suspect.servedAt);
        const bool betterSupported = other.crashes.size() > suspect.crashes.size() || (other.crashes.size() == suspect.crashes.size() && servedLessRecently);
        if (entry.first == part || !betterSupported || !hasEnoughEvidence(other, now))
            return false;
        Crashes remaining = suspect.crashes;
        std::erase_if(remaining, [&other](const auto& crash) { return other.crashes.contains(crash.first); });
        return separateCrashes(remaining).size() < requiredCrashes;
    });
}

void PromptQuarantine::forget(TimePoint now)
{
    std::erase_if(this->suspects, [now](const auto& entry) {
        const Suspect& suspect = entry.second;
        if (suspect.crashes.empty())
            return !suspect.servedAt || now - *suspect.servedAt >= clearedLifetime;
        return now - lastCrashAt(suspect) >= (suspect.quarantined ? quarantineLifetime : suspectLifetime);
    });
}

std::vector<PromptPartId> PromptQuarantine::update(TimePoint now)
{
    this->forget(now);
    std::vector<PromptPartId> added;
    for (auto& [part, suspect] : this->suspects) {
        const bool before = suspect.quarantined;
        suspect.quarantined = hasEnoughEvidence(suspect, now) && !this->isExplained(part, suspect, now);
        if (suspect.quarantined && !before)
            added.push_back(part);
    }
    return added;
}

std::optional<Duration> PromptQuarantine::refusalTime(const std::vector<PromptPartId>& parts, TimePoint now) const
{
    std::optional<Duration> time;
    for (const PromptPartId& part : parts) {
        const auto suspect = this->suspects.find(part);
        if (suspect != this->suspects.end() && suspect->second.quarantined)
            time = std::max(time.value_or(Duration::zero()), lastCrashAt(suspect->second) + quarantineLifetime - now);
    }
    return time;
}

}
