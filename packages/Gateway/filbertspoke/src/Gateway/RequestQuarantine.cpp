#include <filbertspoke/Gateway>

#include <algorithm>
#include <tuple>
#include <utility>

namespace filbertspoke {

namespace {

constexpr std::size_t requiredCrashes = 3;
// Two endpoints that crash within this time of each other count as one crash: a failing host, rack or network takes several with it. For three and more,
// CrashTimes decides. A request that was sent after the crash before is evidence nevertheless.
constexpr Duration crashSpacing = std::chrono::milliseconds(25);
// Within this time after the last required crash, nearly all daemons have heard of each other's observations, over up to three exchanges
// of 200 ms at most each.
constexpr Duration propagationTime = std::chrono::milliseconds(500);
// Requests without the trait that must have been served meanwhile: when the whole service fails, its requests tell nothing of a trait.
constexpr std::size_t requiredOthersServed = 3;
constexpr Duration suspectLifetime = std::chrono::seconds(30);
// Evidence that a trait is sound is passed on for this time.
constexpr Duration clearedLifetime = std::chrono::seconds(5);
constexpr Duration quarantineLifetime = std::chrono::minutes(10);
constexpr Duration servedLifetime = std::chrono::minutes(10);
constexpr std::size_t maximumServedTraits = 4096;
constexpr std::size_t maximumSuspects = 1024;
constexpr std::size_t maximumEvidence = 32;
constexpr std::size_t maximumCrashes = 32;

}

std::vector<TimePoint> RequestQuarantine::separateCrashes(const Suspect& suspect, const Crashes& considered) const
{
    struct DatedCrash {
        CrashInterval time;
        TimePoint sentAt;
    };
    std::vector<DatedCrash> ordered;
    ordered.reserve(considered.size());
    for (const auto& [run, crash] : considered) {
        if (!this->crashTimes.isAfterCrash(run, crash.sentAt))
            ordered.push_back({ this->crashTimes.when(run).value_or(CrashInterval { crash.at, crash.at }), crash.sentAt });
    }
    std::sort(ordered.begin(), ordered.end(), [](const DatedCrash& a, const DatedCrash& b) { return a.time < b.time; });
    std::vector<TimePoint> separate;
    TimePoint latestBefore;
    for (const DatedCrash& crash : ordered) {
        const TimePoint at = crash.time.earliest;
        const bool distant = separate.empty() || (at - separate.back() >= crashSpacing && !this->crashTimes.areTogether(separate.back(), at));
        if (!distant && (crash.sentAt < latestBefore || this->hasOthersAround(suspect, separate.back(), at)))
            continue;
        separate.push_back(at);
        latestBefore = crash.time.latest;
    }
    return separate;
}

bool RequestQuarantine::hasOthersAround(const Suspect& suspect, TimePoint before, TimePoint at) const
{
    if (!this->crashTimes.areTogether(before, at))
        return false;
    const std::vector<EndpointRun> around = this->crashTimes.around(at);
    return std::any_of(around.begin(), around.end(), [&suspect](const EndpointRun& run) { return !suspect.crashes.contains(run); });
}

TimePoint RequestQuarantine::firstCrashAt(const Suspect& suspect)
{
    return std::min_element(suspect.crashes.begin(), suspect.crashes.end(), [](const auto& a, const auto& b) { return a.second.at < b.second.at; })->second.at;
}

TimePoint RequestQuarantine::lastCrashAt(const Suspect& suspect)
{
    TimePoint last;
    for (const auto& [run, crash] : suspect.crashes)
        last = std::max(last, crash.at);
    return last;
}

void RequestQuarantine::clear(Suspect& suspect, TimePoint at)
{
    if (suspect.servedAt && *suspect.servedAt >= at)
        return;
    suspect.servedAt = at;
    if (std::erase_if(suspect.crashes, [at](const auto& crash) { return crash.second.at <= at; }) == 0)
        return;
    suspect.othersServed = 0;
    suspect.quarantinedElsewhere = false;
}

void RequestQuarantine::noteCrash(const std::vector<RequestTraitId>& traits, const EndpointRun& run, TimePoint now, Duration held)
{
    this->crashTimes.note(run, now, now - held);
    if (this->crashTimes.isAfterCrash(run, now - held))
        return;
    for (const RequestTraitId& trait : traits) {
        if (this->suspects.size() >= maximumSuspects && !this->suspects.contains(trait))
            this->makeRoom(now);
        const auto [entry, added] = this->suspects.try_emplace(trait);
        Suspect& suspect = entry->second;
        const auto served = this->servedAt.find(trait);
        if (added && served != this->servedAt.end())
            suspect.servedAt = served->second;
        if (suspect.crashes.empty())
            suspect.othersServed = 0;
        Crash& crash = suspect.crashes.try_emplace(run, Crash { now, now - held }).first->second;
        if (this->crashTimes.isAfterCrash(run, crash.sentAt))
            crash = { now, now - held };
        crash.sentAt = std::max(crash.sentAt, now - held);
    }
}

void RequestQuarantine::makeRoom(TimePoint now)
{
    this->forget(now);
    if (this->suspects.size() < maximumSuspects)
        return;
    const auto weight = [](const Suspect& suspect) { return std::make_tuple(suspect.quarantined || suspect.quarantinedElsewhere, suspect.crashes.size(), lastCrashAt(suspect)); };
    this->suspects.erase(std::min_element(this->suspects.begin(), this->suspects.end(), [&weight](const auto& a, const auto& b) { return weight(a.second) < weight(b.second); }));
}

void RequestQuarantine::noteServed(const std::vector<RequestTraitId>& shared, TimePoint now, const RequestTraitId& fingerprint)
{
    if (this->servedAt.size() >= maximumServedTraits)
        std::erase_if(this->servedAt, [now](const auto& entry) { return now - entry.second >= servedLifetime; });
    if (this->servedAt.size() >= maximumServedTraits)
        this->servedAt.clear();
    for (const RequestTraitId& trait : shared)
        this->servedAt.insert_or_assign(trait, now);
    for (auto& [trait, suspect] : this->suspects) {
        if (trait == fingerprint || std::find(shared.begin(), shared.end(), trait) != shared.end())
            clear(suspect, now);
        else
            ++suspect.othersServed;
    }
}

RequestTraitEvidence RequestQuarantine::evidenceOf(const Suspects::value_type& entry, TimePoint now)
{
    const auto& [trait, suspect] = entry;
    RequestTraitEvidence evidence;
    evidence.trait = trait;
    evidence.quarantined = suspect.quarantined;
    if (suspect.servedAt)
        evidence.servedAge = now - *suspect.servedAt;
    for (const auto& [run, crash] : suspect.crashes) {
        if (evidence.crashes.size() < maximumCrashes)
            evidence.crashes.push_back({ run, now - crash.at, std::max(crash.at - crash.sentAt, Duration::zero()) });
    }
    return evidence;
}

std::vector<RequestTraitEvidence> RequestQuarantine::evidence(TimePoint now) const
{
    std::vector<Suspects::const_iterator> order;
    for (auto suspect = this->suspects.begin(); suspect != this->suspects.end(); ++suspect)
        order.push_back(suspect);
    std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
        return std::make_pair(a->second.quarantined, a->second.crashes.size()) > std::make_pair(b->second.quarantined, b->second.crashes.size());
    });
    order.resize(std::min(order.size(), maximumEvidence));
    std::vector<RequestTraitEvidence> evidence;
    evidence.reserve(order.size());
    for (const auto& entry : order)
        evidence.push_back(evidenceOf(*entry, now));
    return evidence;
}

std::vector<RequestTraitEvidence> RequestQuarantine::quarantined(TimePoint now) const
{
    std::vector<RequestTraitEvidence> evidence;
    for (const auto& entry : this->suspects) {
        if (entry.second.quarantined)
            evidence.push_back(evidenceOf(entry, now));
    }
    return evidence;
}

void RequestQuarantine::merge(const std::vector<RequestTraitEvidence>& evidence, TimePoint now)
{
    for (const RequestTraitEvidence& reported : evidence) {
        for (const EndpointCrash& crash : reported.crashes) {
            const auto known = this->suspects.find(reported.trait);
            const bool cleared = known != this->suspects.end() && known->second.servedAt && *known->second.servedAt >= now - crash.age;
            this->noteCrash(cleared ? std::vector<RequestTraitId> {} : std::vector { reported.trait }, crash.run, now - crash.age, crash.held);
        }
        if (reported.servedAge && *reported.servedAge < clearedLifetime && this->suspects.size() < maximumSuspects)
            this->suspects.try_emplace(reported.trait);
        const auto suspect = this->suspects.find(reported.trait);
        if (suspect == this->suspects.end())
            continue;
        const std::optional<TimePoint> servedBefore = suspect->second.servedAt;
        if (reported.servedAge)
            clear(suspect->second, now - *reported.servedAge);
        // A later time may be the same request, as other daemons pass it on.
        const std::optional<TimePoint> served = suspect->second.servedAt;
        if (served && (!servedBefore || *served - *servedBefore >= propagationTime)) {
            for (auto& [trait, other] : this->suspects)
                other.othersServed += trait != reported.trait && !other.crashes.empty() && firstCrashAt(other) < *served ? 1 : 0;
        }
        suspect->second.quarantinedElsewhere = suspect->second.quarantinedElsewhere || (reported.quarantined && this->separateCrashes(suspect->second).size() >= requiredCrashes);
    }
}

bool RequestQuarantine::hasEnoughEvidence(const Suspect& suspect, TimePoint now) const
{
    if (suspect.crashes.size() < requiredCrashes)
        return false;
    // Crashes that become known later may show the first ones as one burst. The requests would crash further engines before the evidence suffices again.
    if (suspect.quarantined || suspect.quarantinedElsewhere)
        return true;
    const std::vector<TimePoint> crashes = this->separateCrashes(suspect);
    if (crashes.size() < requiredCrashes)
        return false;
    return suspect.othersServed >= requiredOthersServed && now - crashes[requiredCrashes - 1] >= propagationTime;
}

bool RequestQuarantine::explains(const Suspect& other, const Suspect& suspect) const
{
    Crashes remaining = suspect.crashes;
    std::erase_if(remaining, [&other](const auto& crash) { return other.crashes.contains(crash.first); });
    return this->separateCrashes(suspect, remaining).size() < requiredCrashes;
}

bool RequestQuarantine::isExplained(const RequestTraitId& trait, const Suspect& suspect, TimePoint now) const
{
    return std::any_of(this->suspects.begin(), this->suspects.end(), [&](const auto& entry) {
        const Suspect& other = entry.second;
        const bool servedLessRecently = suspect.servedAt && (!other.servedAt || *other.servedAt < *suspect.servedAt);
        const bool betterSupported = other.crashes.size() > suspect.crashes.size() || (other.crashes.size() == suspect.crashes.size() && servedLessRecently);
        return entry.first != trait && betterSupported && this->hasEnoughEvidence(other, now) && this->explains(other, suspect);
    });
}

bool RequestQuarantine::hasAllEquallySupported(const Suspects::value_type& suspect, const std::vector<RequestTraitId>& traits) const
{
    return std::all_of(this->suspects.begin(), this->suspects.end(), [&](const auto& entry) {
        const Suspect& other = entry.second;
        const bool equal = other.quarantined && other.crashes.size() == suspect.second.crashes.size() && this->explains(other, suspect.second);
        return !equal || std::find(traits.begin(), traits.end(), entry.first) != traits.end();
    });
}

void RequestQuarantine::forget(TimePoint now)
{
    std::erase_if(this->suspects, [now](const auto& entry) {
        const Suspect& suspect = entry.second;
        if (suspect.crashes.empty())
            return !suspect.servedAt || now - *suspect.servedAt >= clearedLifetime;
        return now - lastCrashAt(suspect) >= (suspect.quarantined || suspect.quarantinedElsewhere ? quarantineLifetime : suspectLifetime);
    });
}

std::vector<RequestTraitId> RequestQuarantine::update(TimePoint now)
{
    this->forget(now);
    this->crashTimes.forget(now);
    std::vector<RequestTraitId> added;
    for (auto& [trait, suspect] : this->suspects) {
        const bool before = suspect.quarantined;
        suspect.quarantined = this->hasEnoughEvidence(suspect, now) && !this->isExplained(trait, suspect, now);
        if (suspect.quarantined && !before)
            added.push_back(trait);
    }
    return added;
}

std::optional<Duration> RequestQuarantine::refusalTime(const std::vector<RequestTraitId>& traits, TimePoint now) const
{
    std::optional<Duration> time;
    for (const RequestTraitId& trait : traits) {
        const auto suspect = this->suspects.find(trait);
        if (suspect != this->suspects.end() && suspect->second.quarantined && this->hasAllEquallySupported(*suspect, traits))
            time = std::max(time.value_or(Duration::zero()), lastCrashAt(suspect->second) + quarantineLifetime - now);
    }
    return time;
}

}
