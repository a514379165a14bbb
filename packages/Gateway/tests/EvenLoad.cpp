// Replays in virtual time how gateways with old reports of each other's work choose among engines of different speed.
#include "ModelProfile.h"

#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const EngineProfile profile = testing::modelProfile();
constexpr std::size_t gateways = 30;
constexpr double tokens = 772 + 174;

struct Options {
    bool random = false;
    bool feedback = false;
    bool pause = false; ///< whether gateways prefer other engines after a refusal
    double arrivalsPerSecond = 0; ///< of the site
    bool delayed = false; ///< reports are 200 to 400 ms old instead of up to 200 ms
    std::uint64_t seed = 0;
};

struct Outcome {
    double peak = 0; ///< largest share of a KV cache in use
    double deviation = 0; ///< mean standard deviation of the shares of the engines of one speed
    int refusals = 0;
    int started = 0;
    int unplanned = 0; ///< generations for which no engine seemed to have room
};

/** \brief Engines that hold the whole model, and the gateways that choose among them. */
class Replay {
public:
    explicit Replay(Options options)
        : options(options)
        , loads(gateways)
        , backoffs(gateways)
        , arrivals(options.seed)
    {
        for (int index = 0; index < 12; ++index)
            this->engines.push_back(EndpointId("e" + std::to_string(10 + index)));
    }

    Outcome run()
    {
        std::exponential_distribution<double> gap(this->options.arrivalsPerSecond);
        std::uniform_int_distribution<std::size_t> pick(0, gateways - 1);
        TimePoint arrival = this->now;
        TimePoint report = this->now;
        for (; this->now < TimePoint(130s); this->now += 1ms) {
            while (!this->ends.empty() && this->ends.begin()->first <= this->now)
                this->finish();
            // The hub's sum contains what the members reported 200 ms ago.
            if (this->now >= report) {
                this->exchange();
                report += 200ms;
            }
            while (arrival <= this->now) {
                this->start(pick(this->arrivals));
                arrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(this->arrivals)));
            }
            if (this->now.time_since_epoch() % Duration(50ms) == Duration::zero() && this->now >= TimePoint(105s))
                this->sample();
        }
        this->outcome.deviation = this->deviations / std::max(1, this->sampled);
        return this->outcome;
    }

private:
    static AcceleratorProfile accelerator(std::size_t engine)
    {
        // Three speeds, the slowest 1.3 times as slow as the fastest.
        const double factor = 1 + 0.15 * static_cast<double>(engine % 3);
        return { 80 * profile.layerMegabytes + capacity() * profile.kvMegabytesPerTokenLayer(), 8 * factor, 4 * factor };
    }
    /** \returns the KV cache of an engine, which holds 30 generations */
    static double capacity() { return 30 * tokens * 80; }

    void exchange()
    {
        WorkByEndpoint sum;
        for (const LoadTracker& tracker : this->loads) {
            for (const auto& [endpoint, work] : tracker.own())
                sum[endpoint] += work;
        }
        for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
            WorkByEndpoint others = this->options.delayed ? this->previousSum : sum;
            for (const auto& [endpoint, work] : this->options.delayed ? this->previousOwn[gateway] : this->loads[gateway].own())
                others[endpoint] -= work;
            this->loads[gateway].replaceGroupLoad("hub", others, this->now);
            this->loads[gateway].markRefreshed(gateways - 1, this->now);
            this->previousOwn[gateway] = this->loads[gateway].own();
        }
        this->previousSum = sum;
    }

    std::optional<LayerChain> plan(std::size_t gateway, const std::set<EndpointId>& refused)
    {
        std::vector<StageCandidate> candidates;
        for (std::size_t index = 0; index < this->engines.size(); ++index) {
            if (refused.contains(this->engines[index]))
                continue;
            const WorkInProgress load = this->loads[gateway].total(this->engines[index]);
            StageCandidate candidate { this->engines[index], { 0, 80 }, FailureDomainId("a"), accelerator(index), load.requests, capacity() - load.tokenLayers };
            if (this->options.random) {
                candidate.spread = this->loads[gateway].unreportedShare(gateways - 1, 1, capacity(), this->now);
                candidate.draw = std::uniform_real_distribution<double>(0, 1)(this->random);
            }
            candidate.refusing = this->options.pause && this->backoffs[gateway][this->engines[index]].isPausing(this->now);
            candidates.push_back(candidate);
        }
        return planAroundRefusals(profile, candidates, { FailureDomainId("a"), 772, 174, {}, {} });
    }

    void start(std::size_t gateway)
    {
        std::set<EndpointId> refused;
        for (int attempt = 0; attempt < 4; ++attempt) {
            const auto chain = this->plan(gateway, refused);
            if (!chain) {
                ++this->outcome.unplanned;
                return;
            }
            const EndpointId engine = chain->stages.front().endpoint;
            const WorkInProgress work { 1, chain->tokens * 80 };
            this->loads[gateway].begin(engine, work);
            if (this->used[engine] + work.tokenLayers <= capacity() + 1) {
                this->used[engine] += work.tokenLayers;
                ++this->outcome.started;
                this->ends.emplace(this->now + chain->firstToken + chain->perToken * 174, std::tuple(gateway, engine, work));
                return;
            }
            ++this->outcome.refusals;
            refused.insert(engine);
            this->loads[gateway].end(engine, work);
            this->backoffs[gateway][engine].noteRefusal(this->now, 0.5, this->now);
            if (this->options.feedback)
                this->loads[gateway].noteRefusal(engine, capacity(), work.tokenLayers, this->now);
        }
    }

    void finish()
    {
        const auto [gateway, engine, work] = this->ends.begin()->second;
        this->loads[gateway].end(engine, work);
        this->used[engine] -= work.tokenLayers;
        this->ends.erase(this->ends.begin());
    }

    void sample()
    {
        for (std::size_t speed = 0; speed < 3; ++speed) {
            double sum = 0;
            double squares = 0;
            for (std::size_t index = speed; index < this->engines.size(); index += 3) {
                const double share = this->used[this->engines[index]] / capacity();
                this->outcome.peak = std::max(this->outcome.peak, share);
                sum += share;
                squares += share * share;
            }
            this->deviations += std::sqrt(std::max(0.0, squares / 4 - sum * sum / 16)) / 3;
        }
        ++this->sampled;
    }

    Options options;
    std::vector<LoadTracker> loads;
    std::vector<std::map<EndpointId, RefusalBackoff>> backoffs;
    std::vector<EndpointId> engines;
    std::map<EndpointId, double> used;
    std::multimap<TimePoint, std::tuple<std::size_t, EndpointId, WorkInProgress>> ends;
    WorkByEndpoint previousSum;
    std::map<std::size_t, WorkByEndpoint> previousOwn;
    std::mt19937_64 arrivals; ///< apart from the draws, so that all variants see the same arrivals
    std::mt19937_64 random { 11 };
    TimePoint now { 100s };
    Outcome outcome;
    double deviations = 0;
    int sampled = 0;
};

constexpr int seeds = 6;

/** \returns the sums of the counts and the means of the other figures over the seeds */
Outcome replay(const std::string& name, Options options)
{
    Outcome total;
    for (int seed = 1; seed <= seeds; ++seed) {
        options.seed = static_cast<std::uint64_t>(seed);
        const Outcome outcome = Replay(options).run();
        total.peak += outcome.peak / seeds;
        total.deviation += outcome.deviation / seeds;
        total.refusals += outcome.refusals;
        total.started += outcome.started;
        total.unplanned += outcome.unplanned;
    }
    BOOST_TEST_MESSAGE(name << " at " << options.arrivalsPerSecond << "/s: peak " << total.peak << ", deviation " << total.deviation << ", refusals " << total.refusals << ", started " << total.started << ", unplanned " << total.unplanned);
    return total;
}

}

// Guards against a herd effect: gateways with the same reports fill the engine that was the cheapest at the time of the reports.
BOOST_AUTO_TEST_CASE(randomPartOfTheCostSpreadsTheLoad)
{
    const Outcome without = replay("none", { false, false, false, 60 });
    const Outcome with = replay("random", { true, false, false, 60 });
    BOOST_TEST(with.peak < without.peak - 0.05);
    BOOST_TEST(with.deviation < 0.7 * without.deviation);
}

// Guards against refusals by single engines while others of the same speed have room.
BOOST_AUTO_TEST_CASE(randomPartOfTheCostSparesRefusalsBelowSaturation)
{
    for (const double rate : { 80.0, 100.0, 120.0 }) {
        const Outcome without = replay("none", { false, false, false, rate });
        const Outcome with = replay("random", { true, false, false, rate });
        BOOST_TEST(with.refusals < without.refusals);
    }
}

// Guards against repeated refusals of one gateway's requests by an engine that others have filled.
BOOST_AUTO_TEST_CASE(refusalsCountAsLoadOfOthersUntilNewerReports)
{
    for (const bool delayed : { false, true }) {
        const Outcome without = replay(delayed ? "none, older reports" : "none", { false, false, false, 140, delayed });
        const Outcome with = replay(delayed ? "feedback, older reports" : "feedback", { false, true, false, 140, delayed });
        BOOST_TEST(with.refusals < without.refusals);
        BOOST_TEST(with.started >= without.started);
    }
}

// Guards against a combination of the parts that is worse than none of them.
BOOST_AUTO_TEST_CASE(allPartsTogetherSpareRefusals)
{
    for (const double rate : { 80.0, 100.0, 120.0 })
        BOOST_TEST(replay("all", { true, true, true, rate }).refusals < replay("none", { false, false, false, rate }).refusals);
}
