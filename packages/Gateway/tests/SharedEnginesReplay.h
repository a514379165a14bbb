#ifndef FILBERTSPOKE_SHARED_ENGINES_REPLAY_H
#define FILBERTSPOKE_SHARED_ENGINES_REPLAY_H

#include <filbertspoke/Gateway>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace filbertspoke::testing {

/** \brief Generations of one priority that arrive at random times. */
struct Demand {
    std::uint32_t priority = 0;
    double perSecond = 0; ///< at all gateways together
    int offered = 0;
    int refused = 0;

    double refusedShare() const { return static_cast<double>(this->refused) / std::max(1, this->offered); }
};

/** \brief Replays, in virtual time, gateways that share engines, wait for capacity and know each other's work with a delay of 90 ms at the median.
 * Six engines hold 20 generations each, for 2.5 s: 48 a second. */
class SharedEnginesReplay {
public:
    SharedEnginesReplay(std::vector<Demand> demands, bool reserve)
        : demands(std::move(demands))
        , reserve(reserve)
        , gateways(gatewayCount)
    {
        this->profile.layers = 8;
        this->profile.layerMegabytes = 100;
        this->profile.kvBytesPerToken = 590'000;
        this->profile.usualPromptTokens = 772;
        this->profile.usualOutputTokens = 174;
        this->capacity = 20.5 * this->tokens() * this->profile.layers;
        this->accelerator.memoryMegabytes = this->profile.layers * this->profile.layerMegabytes + this->capacity * this->profile.kvMegabytesPerTokenLayer();
        for (const Demand& demand : this->demands)
            this->routed.insert(demand.priority);
    }

    std::vector<Demand> run(Duration length)
    {
        for (this->now = TimePoint {}; this->now < TimePoint {} + length; this->now += tick) {
            this->finishGenerations();
            this->exchangeReports();
            this->serveWaiters();
            for (Demand& demand : this->demands)
                this->arrive(demand);
        }
        return this->demands;
    }

private:
    static constexpr std::size_t gatewayCount = 6;
    static constexpr int engineCount = 6;
    static constexpr Duration tick = std::chrono::milliseconds(10);
    static constexpr Duration reportPeriod = std::chrono::milliseconds(180);
    static constexpr Duration pollInterval = std::chrono::milliseconds(40);
    static constexpr Duration waitLimit = std::chrono::milliseconds(300);
    static constexpr Duration generationTime = std::chrono::milliseconds(2500);
    static constexpr int triesAtOnce = 3; ///< chains tried one after the other when engines refuse

    struct Gateway {
        LoadTracker loads;
    };
    struct Generation {
        std::size_t gateway = 0;
        Demand* demand = nullptr;
        TimePoint arrived;
    };
    struct Running {
        std::size_t gateway = 0;
        EndpointId engine;
    };

    double tokens() const { return this->profile.usualPromptTokens + this->profile.usualOutputTokens; }
    WorkInProgress work() const { return { 1, this->tokens() * this->profile.layers }; }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    void finishGenerations()
    {
        while (!this->running.empty() && this->running.begin()->first <= this->now) {
            const Running& ended = this->running.begin()->second;
            this->gateways[ended.gateway].loads.end(ended.engine, this->work());
            this->used[ended.engine] -= this->work().tokenLayers;
            this->running.erase(this->running.begin());
        }
    }

    void exchangeReports()
    {
        for (std::size_t sender = 0; sender < gatewayCount; ++sender) {
            const Duration offset = sender * reportPeriod / gatewayCount;
            if ((this->now.time_since_epoch() + offset) % reportPeriod != Duration::zero())
                continue;
            for (std::size_t receiver = 0; receiver < gatewayCount; ++receiver) {
                if (receiver != sender)
                    this->gateways[receiver].loads.replaceMemberLoad(DaemonId(std::to_string(sender)), this->gateways[sender].loads.own(), this->now);
            }
        }
    }

    void serveWaiters()
    {
        std::erase_if(this->waiting, [this](const Generation& generation) {
            const Duration waited = this->now - generation.arrived;
            const bool started = waited % pollInterval == Duration::zero() && this->start(generation);
            if (!started && waited >= waitLimit)
                ++generation.demand->refused;
            return started || waited >= waitLimit;
        });
    }

    void arrive(Demand& demand)
    {
        if (this->draw() >= demand.perSecond * std::chrono::duration<double>(tick).count())
            return;
        ++demand.offered;
        const Generation generation { static_cast<std::size_t>(this->draw() * gatewayCount), &demand, this->now };
        if (!this->start(generation))
            this->waiting.push_back(generation);
    }

    std::optional<LayerChain> plan(const Generation& generation, const std::set<EndpointId>& refusing)
    {
        Gateway& gateway = this->gateways[generation.gateway];
        std::vector<StageCandidate> candidates;
        for (int index = 0; index < engineCount; ++index) {
            const EndpointId engine("e" + std::to_string(index));
            const WorkInProgress load = gateway.loads.total(engine);
            if (!refusing.contains(engine))
                candidates.push_back({ engine, { 0, this->profile.layers }, FailureDomainId("a"), this->accelerator, load.requests, this->capacity - load.tokenLayers });
        }
        ChainRequest request;
        request.origin = FailureDomainId("a");
        request.promptTokens = this->profile.usualPromptTokens;
        request.outputTokens = this->profile.usualOutputTokens;
        if (this->reserve)
            request.reservedShare = reservedShare(generationRank(this->routed, generation.demand->priority));
        return planLayerChain(this->profile, candidates, request);
    }

    bool start(const Generation& generation)
    {
        std::set<EndpointId> refusing;
        for (int tries = 0; tries < triesAtOnce; ++tries) {
            const auto chain = this->plan(generation, refusing);
            if (!chain)
                return false;
            const EndpointId& engine = chain->stages.front().endpoint;
            if (this->used[engine] + this->work().tokenLayers > this->capacity) {
                refusing.insert(engine);
                continue;
            }
            this->used[engine] += this->work().tokenLayers;
            this->gateways[generation.gateway].loads.begin(engine, this->work());
            this->running.emplace(this->now + generationTime, Running { generation.gateway, engine });
            return true;
        }
        return false;
    }

    std::vector<Demand> demands;
    const bool reserve;
    std::vector<Gateway> gateways;
    EngineProfile profile;
    AcceleratorProfile accelerator;
    double capacity = 0; ///< of an engine, in tokens times layers
    std::set<std::uint32_t> routed;
    Random random { 1 };
    TimePoint now;
    std::map<EndpointId, double> used; ///< as the engines know it
    std::multimap<TimePoint, Running> running; ///< by end
    std::vector<Generation> waiting;
};

}

#endif
