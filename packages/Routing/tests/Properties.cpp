#include <filbertspoke/Routing>
#include <filbertspoke/Testing>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace filbertspoke::testing;

namespace {

const ModelId model("assistant");
const std::string version = "1";
constexpr std::uint32_t layerCount = 8;
constexpr int casesInCi = 300;

struct GeneratedEngine {
    std::uint32_t first;
    std::uint32_t size;
    bool local;
    bool takesNewWork;
};

GeneratedEngine anyEngine()
{
    const auto first = *rc::gen::inRange<std::uint32_t>(0, layerCount);
    const auto size = *rc::gen::inRange<std::uint32_t>(1, layerCount - first + 1);
    return { first, size, *rc::gen::arbitrary<bool>(), *rc::gen::weightedElement<bool>({ { 4, true }, { 1, false } }) };
}

/** \returns whether usable engines can be put end to end from the first layer to the last */
bool reachable(const std::vector<GeneratedEngine>& engines)
{
    std::vector<bool> reached(layerCount + 1, false);
    reached[0] = true;
    for (std::uint32_t boundary = 0; boundary < layerCount; ++boundary) {
        for (const GeneratedEngine& engine : engines) {
            if (reached[boundary] && engine.takesNewWork && engine.first == boundary)
                reached[boundary + engine.size] = true;
        }
    }
    return reached[layerCount];
}

}

BOOST_AUTO_TEST_CASE(planCoversExactlyWheneverAChainExists)
{
    checkProperty([] {
        EndpointView view(FailureDomainId("own"));
        std::vector<GeneratedEngine> engines;
        const int count = *rc::gen::inRange(0, 14);
        for (int number = 0; number < count; ++number) {
            const GeneratedEngine engine = anyEngine();
            engines.push_back(engine);
            const EndpointId id("e" + std::to_string(number));
            view.put(Endpoint::Builder(id)
                         .failureDomain(FailureDomainId(engine.local ? "own" : "other"))
                         .role(EngineRole { model, version, { engine.first, engine.first + engine.size } })
                         .build());
            view.setTakesNewWork(id, engine.takesNewWork);
        }
        const LayerRange whole(0, layerCount);
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        const PlanRequest request = PlanRequest::Builder(model, version).layers(whole).tokens(4, 4).build();

        const Result<Chain> chain = Planner().plan(request, view, random, TimePoint());

        RC_ASSERT(chain.has_value() == reachable(engines));
        if (!chain)
            return;
        RC_ASSERT(covers(*chain, whole));
        for (const ChainStage& stage : *chain) {
            const EndpointState* state = view.find(stage.endpoint);
            RC_ASSERT(state && state->takesNewWork());
            RC_ASSERT((std::get<EngineRole>(state->endpoint().role()).layers == stage.layers));
        }
    },
        casesInCi);
}

BOOST_AUTO_TEST_CASE(viewIndexesMatchItsEndpoints)
{
    checkProperty([] {
        EndpointView view(FailureDomainId("own"));
        std::map<EndpointId, LayerRange> oracle;
        const int steps = *rc::gen::inRange(0, 60);
        for (int step = 0; step < steps; ++step) {
            const EndpointId id("e" + std::to_string(*rc::gen::inRange(0, 8)));
            if (*rc::gen::inRange(0, 3) == 0) {
                view.remove(id);
                oracle.erase(id);
                continue;
            }
            const GeneratedEngine engine = anyEngine();
            const LayerRange layers(engine.first, engine.first + engine.size);
            view.put(Endpoint::Builder(id)
                         .failureDomain(FailureDomainId(engine.local ? "own" : "other"))
                         .role(EngineRole { model, version, layers })
                         .build());
            oracle[id] = layers;
        }

        std::map<EndpointId, LayerRange> indexed;
        if (const EndpointView::EngineGroups* groups = view.engines(model, version)) {
            for (const auto& [layers, group] : *groups) {
                RC_ASSERT(!group.empty());
                group.forEach([&, range = layers](const EndpointState& state) { indexed[state.endpoint().id()] = range; });
            }
        }
        RC_ASSERT(indexed == oracle);
        RC_ASSERT(view.size() == oracle.size());
    },
        casesInCi);
}

BOOST_AUTO_TEST_CASE(backloggedAccountsGetTheirShareWithinOneRequest)
{
    checkProperty([] {
        constexpr double largestCost = 100;
        FairQueue queue;
        const int accountCount = *rc::gen::inRange(2, 6);
        std::vector<double> weights;
        std::vector<double> served(accountCount, 0);
        int nextRequest = 0;
        const auto push = [&](int number) {
            const double cost = *rc::gen::inRange(1, static_cast<int>(largestCost) + 1);
            queue.push({ RequestId("r" + std::to_string(nextRequest++)), AccountId(std::to_string(number)), 0, TimePoint(), cost, {} });
        };
        for (int number = 0; number < accountCount; ++number) {
            weights.push_back(*rc::gen::inRange(1, 10));
            queue.setWeight(AccountId(std::to_string(number)), weights.back());
            push(number);
            push(number);
        }

        const int starts = *rc::gen::inRange(1, 80);
        for (int start = 0; start < starts; ++start) {
            const auto request = queue.pop([](const AccountId&) { return true; });
            RC_ASSERT(request.has_value());
            const int number = std::stoi(request->account.str());
            served[number] += request->cost;
            push(number);
        }

        for (int left = 0; left < accountCount; ++left) {
            for (int right = 0; right < accountCount; ++right) {
                const double ahead = served[left] / weights[left] - served[right] / weights[right];
                RC_ASSERT(ahead <= largestCost / weights[left]);
            }
        }
    },
        casesInCi);
}

BOOST_AUTO_TEST_CASE(partsOfALimitNeverAddUpToMore)
{
    checkProperty([] {
        constexpr int limit = 1000;
        const int count = *rc::gen::inRange(1, 7);
        const AccountId account("a");
        std::vector<AccountLimiter> daemons(count);
        for (AccountLimiter& daemon : daemons) {
            daemon.configure(Configuration::Builder().account({ account, 1, 0, limit }).build());
            daemon.setDaemons(count);
            const int waiting = *rc::gen::inRange(0, 200);
            for (int request = 0; request < waiting; ++request)
                daemon.queued(account);
        }
        // Partitions are symmetric: daemons of one side hear each other and nobody else.
        std::vector<int> side(count);
        for (int& member : side)
            member = *rc::gen::inRange(0, 3);
        for (int from = 0; from < count; ++from) {
            for (int to = 0; to < count; ++to) {
                if (from != to && side[from] == side[to])
                    daemons[to].updatePeerDemand(DaemonId(std::to_string(from)), daemons[from].demand(TimePoint()), TimePoint());
            }
        }

        std::uint32_t sum = 0;
        for (const AccountLimiter& daemon : daemons)
            sum += daemon.concurrency(account, TimePoint()).value();
        RC_ASSERT(sum <= limit + static_cast<std::uint32_t>(count));
    },
        casesInCi);
}

BOOST_AUTO_TEST_CASE(maximumFlowIsTheSmallestCut)
{
    checkProperty([] {
        constexpr std::uint32_t layers = 5;
        RangeCapacities capacities;
        const int count = *rc::gen::inRange(0, 10);
        for (int number = 0; number < count; ++number) {
            const auto first = *rc::gen::inRange<std::uint32_t>(0, layers);
            const auto last = *rc::gen::inRange<std::uint32_t>(first + 1, layers + 1);
            capacities[LayerRange(first, last)] += *rc::gen::inRange(1, 100);
        }

        // Every set of boundaries with the first and without the last one is a cut.
        double smallest = 1e9;
        for (std::uint32_t inner = 0; inner < 1u << (layers - 1); ++inner) {
            const auto inside = [&](std::uint32_t boundary) { return boundary == 0 || (boundary < layers && (inner >> (boundary - 1)) & 1); };
            double cut = 0;
            for (const auto& [range, capacity] : capacities)
                cut += inside(range.first()) && !inside(range.last()) ? capacity : 0;
            smallest = std::min(smallest, cut);
        }
        RC_ASSERT(std::abs(maximumFlow(capacities, LayerRange(0, layers)) - smallest) < 1e-6);
    },
        casesInCi);
}
