#include <filbertspoke/Report>

#include <algorithm>
#include <chrono>
#include <limits>

namespace filbertspoke::report {

namespace {

/** \returns whether \a entry was written before \a known */
bool isOlder(const EngineRead& entry, const EngineRead& known)
{
    return entry.startedAtMs != known.startedAtMs ? entry.startedAtMs < known.startedAtMs : entry.heartbeat < known.heartbeat;
}

bool sameBeyondHeartbeat(const EngineRead& a, const EngineRead& b)
{
    EngineRead same = a;
    same.heartbeat = b.heartbeat;
    return same == b;
}

const AcceleratorProfile* findAccelerator(const EngineProfile& profile, const EngineRead& engine)
{
    const auto found = profile.accelerators.find(engine.accelerator);
    return found == profile.accelerators.end() ? nullptr : &found->second;
}

/** \returns the KV cache beside the layers, in tokens times layers */
double freeTokenLayers(const EngineProfile& profile, const AcceleratorProfile& accelerator, const LayerRange& layers)
{
    const double perTokenLayer = profile.kvMegabytesPerTokenLayer();
    return perTokenLayer > 0 ? std::max(0.0, accelerator.memoryMegabytes - layers.size() * profile.layerMegabytes) / perTokenLayer : 0;
}

LayerHolder holder(const EngineProfile& profile, const EngineRead& engine)
{
    const AcceleratorProfile* accelerator = findAccelerator(profile, engine);
    const double usualTokens = profile.usualPromptTokens + profile.usualOutputTokens;
    LayerHolder result;
    result.layers = engine.layers;
    result.room = accelerator && usualTokens > 0 ? freeTokenLayers(profile, *accelerator, engine.layers) / usualTokens : 0;
    if (profile.slots > 0)
        result.slots = profile.slots;
    return result;
}

std::uint32_t least(const std::vector<std::uint32_t>& copies)
{
    return copies.empty() ? 0 : *std::min_element(copies.begin(), copies.end());
}

}

std::optional<PlacementChange> PlacementState::apply(const PlacementEvent& event)
{
    return std::visit([this](const auto& value) { return this->applyEvent(value); }, event);
}

std::optional<PlacementChange> PlacementState::applyEvent(const EngineRead& read)
{
    const auto gone = this->removed.find(read.endpoint);
    if (gone != this->removed.end()) {
        if (!isOlder(gone->second, read) && read.startedAtMs > 0)
            return std::nullopt;
        this->removed.erase(gone);
    }
    PlacementChange change;
    change.service = read.service;
    const auto [entry, added] = this->engines.try_emplace(read.endpoint, Engine { read, false, {} });
    if (added) {
        change.lost = this->eraseSuperseded(read);
        change.returned = true;
        return change;
    }
    Engine& engine = entry->second;
    if (isOlder(read, engine.entry) || (sameBeyondHeartbeat(read, engine.entry) && !engine.lost) || read == engine.entry)
        return std::nullopt;
    const bool restarted = read.startedAtMs > engine.entry.startedAtMs;
    change.lost = restarted && engine.serves();
    change.returned = restarted || engine.lost;
    change.orderDone = engine.ordered && *engine.ordered == read.layers;
    if (change.orderDone || restarted)
        engine.ordered.reset();
    engine.entry = read;
    engine.lost = false;
    return change;
}

std::optional<PlacementChange> PlacementState::applyEvent(const EngineRemoved& event)
{
    const auto entry = this->engines.find(event.endpoint);
    if (entry == this->engines.end())
        return std::nullopt;
    PlacementChange change;
    change.service = entry->second.entry.service;
    change.lost = entry->second.serves();
    this->removed.insert_or_assign(event.endpoint, entry->second.entry);
    this->engines.erase(entry);
    return change;
}

std::optional<PlacementChange> PlacementState::applyEvent(const EngineLost& event)
{
    const auto entry = this->engines.find(event.endpoint);
    if (entry == this->engines.end() || entry->second.lost || entry->second.entry.startedAtMs > event.seenAtMs)
        return std::nullopt;
    PlacementChange change;
    change.service = entry->second.entry.service;
    change.lost = entry->second.serves();
    entry->second.lost = true;
    return change;
}

std::optional<PlacementChange> PlacementState::applyEvent(const OrderAccepted& event)
{
    const auto entry = this->engines.find(event.endpoint);
    if (entry == this->engines.end())
        return std::nullopt;
    entry->second.ordered = event.layers;
    PlacementChange change;
    change.service = entry->second.entry.service;
    change.orderSent = true;
    return change;
}

std::optional<PlacementChange> PlacementState::applyEvent(const ProfileRead& event)
{
    const auto entry = this->profiles.find(event.service);
    if (entry != this->profiles.end() && entry->second == event.profile)
        return std::nullopt;
    this->profiles.insert_or_assign(event.service, event.profile);
    PlacementChange change;
    change.service = event.service;
    return change;
}

bool PlacementState::eraseSuperseded(const EngineRead& newest)
{
    bool held = false;
    std::erase_if(this->engines, [&](const auto& other) {
        const EngineRead& entry = other.second.entry;
        const bool superseded = !newest.address.empty() && entry.address == newest.address && entry.endpoint != newest.endpoint && entry.startedAtMs <= newest.startedAtMs;
        if (superseded) {
            held = held || other.second.serves();
            this->removed.insert_or_assign(entry.endpoint, entry);
        }
        return superseded;
    });
    return held;
}

std::vector<std::string> PlacementState::services() const
{
    std::vector<std::string> names;
    names.reserve(this->profiles.size());
    for (const auto& [name, profile] : this->profiles)
        names.push_back(name);
    return names;
}

std::map<std::string, std::vector<std::uint32_t>> PlacementState::copies(const std::string& service) const
{
    std::map<std::string, std::vector<std::uint32_t>> byDomain;
    const auto profile = this->profiles.find(service);
    if (profile == this->profiles.end())
        return byDomain;
    for (const auto& [id, engine] : this->engines) {
        if (engine.entry.service != service)
            continue;
        auto& copies = byDomain[engine.entry.domain];
        copies.resize(profile->second.layers);
        for (std::uint32_t layer = engine.entry.layers.first(); engine.serves() && layer < std::min<std::size_t>(engine.entry.layers.last(), copies.size()); ++layer)
            ++copies[layer];
    }
    return byDomain;
}

std::optional<PlacedCapacity> PlacementState::capacity(const std::string& service) const
{
    const auto known = this->profiles.find(service);
    if (known == this->profiles.end())
        return std::nullopt;
    const EngineProfile& profile = known->second;
    std::vector<const Engine*> serving;
    std::vector<LayerHolder> holders;
    std::map<std::string, std::vector<LayerHolder>> holdersByDomain;
    for (const auto& [id, engine] : this->engines) {
        if (engine.entry.service != service || !engine.serves())
            continue;
        serving.push_back(&engine);
        holders.push_back(holder(profile, engine.entry));
        holdersByDomain[engine.entry.domain].push_back(holders.back());
    }
    PlacedCapacity capacity;
    capacity.engines = static_cast<std::uint32_t>(serving.size());
    capacity.atOnce = layerFlow(holders, profile.layers);
    for (const auto& [domain, within] : holdersByDomain)
        capacity.atOnceWithinDomains += layerFlow(within, profile.layers);
    capacity.perSecond = this->perSecond(serving, profile, capacity.atOnce);
    std::vector<std::uint32_t> total(profile.layers, 0);
    for (const auto& [domain, copies] : this->copies(service)) {
        capacity.leastCopiesByDomain[domain] = least(copies);
        std::transform(copies.begin(), copies.end(), total.begin(), total.begin(), std::plus<>());
    }
    capacity.leastCopies = least(total);
    return capacity;
}

double PlacementState::perSecond(const std::vector<const Engine*>& serving, const EngineProfile& profile, double atOnce) const
{
    std::vector<StageCandidate> candidates;
    const double usualTokens = profile.usualPromptTokens + profile.usualOutputTokens;
    for (const Engine* engine : serving) {
        const AcceleratorProfile* accelerator = findAccelerator(profile, engine->entry);
        if (!accelerator)
            continue;
        const double room = freeTokenLayers(profile, *accelerator, engine->entry.layers);
        const double full = std::min(atOnce, room / (usualTokens * engine->entry.layers.size()));
        candidates.push_back({ engine->entry.endpoint, engine->entry.layers, FailureDomainId(engine->entry.domain), *accelerator, full, std::numeric_limits<double>::infinity(), true });
    }
    ChainRequest request;
    request.promptTokens = profile.usualPromptTokens;
    request.outputTokens = profile.usualOutputTokens;
    // Slots would exclude the engines, which are full.
    EngineProfile withoutSlots = profile;
    withoutSlots.slots = 0;
    const auto chain = atOnce > 0 ? planLayerChain(withoutSlots, candidates, request) : std::nullopt;
    if (!chain)
        return 0;
    const double seconds = std::chrono::duration<double>(chain->firstToken).count() + std::chrono::duration<double>(chain->perToken).count() * std::max(0.0, profile.usualOutputTokens - 1);
    return seconds > 0 ? atOnce / seconds : 0;
}

}
