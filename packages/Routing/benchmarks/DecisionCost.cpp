#include <filbertspoke/Routing>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace filbertspoke;

namespace {

constexpr std::uint32_t layers = 24;
constexpr std::uint32_t stages = 4;
constexpr std::size_t domains = 7;
constexpr std::size_t endpointsPerModel = 700; ///< about 12,000 endpoints over 17 models
constexpr std::size_t kinds = 5;

const ServiceId service("bench-app");

/** \brief A view of engines over several models, with reports and latencies. */
class Fleet {
public:
    explicit Fleet(std::size_t count)
        : view(FailureDomainId("domain-0"))
        , models(std::max<std::size_t>(1, count / endpointsPerModel))
    {
        for (std::size_t number = 0; number < count; ++number) {
            this->endpoints.push_back(this->engine(number));
            this->view.put(this->endpoints.back());
            this->view.report(this->id(number), this->report(number), this->now);
            this->view.workStarted(this->id(number), this->now);
            this->view.workFinished(this->id(number), std::chrono::milliseconds(5), this->now);
        }
        for (std::size_t number = 0; number < count / 10 + 3; ++number) {
            const EndpointId replica("replica-" + std::to_string(number));
            this->view.put(Endpoint::Builder(replica).failureDomain(FailureDomainId("domain-0")).role(ServiceRole { service }).build());
        }
    }

    const EndpointId& id(std::size_t number) const { return this->endpoints[number].id(); }

    LoadReport report(std::size_t number) const
    {
        return { static_cast<std::uint32_t>(number % 5), 4, 300.0 + 100.0 * static_cast<double>(number % kinds), false };
    }

    PlanRequest request(std::size_t number) const
    {
        return PlanRequest::Builder(this->model(number), "1").layers({ 0, layers }).tokens(32, 64).build();
    }

    EndpointView view;
    std::vector<Endpoint> endpoints;
    Random random { 1 };
    TimePoint now { std::chrono::hours(1) };

private:
    ModelId model(std::size_t number) const { return ModelId("model-" + std::to_string(number % this->models)); }

    Endpoint engine(std::size_t number) const
    {
        const auto stage = static_cast<std::uint32_t>(number / this->models % stages);
        constexpr std::uint32_t size = layers / stages;
        return Endpoint::Builder(EndpointId("engine-" + std::to_string(number)))
            .host(HostId("host-" + std::to_string(number)))
            .address("127.0.0.1", 7000)
            .failureDomain(FailureDomainId("domain-" + std::to_string(number % domains)))
            .accelerator(AcceleratorId("kind-" + std::to_string(number % kinds)))
            .role(EngineRole { this->model(number), "1", { stage * size, (stage + 1) * size } })
            .build();
    }

    std::size_t models;
};

void planChain(benchmark::State& state)
{
    Fleet fleet(static_cast<std::size_t>(state.range(0)));
    const Planner planner;
    std::size_t number = 0;
    for (auto step : state) {
        const Result<Chain> chain = planner.plan(fleet.request(number++), fleet.view, fleet.random, fleet.now);
        fleet.view.chainOpened(*chain);
        fleet.view.chainClosed(*chain);
    }
    state.SetComplexityN(state.range(0));
}

void pickReplica(benchmark::State& state)
{
    Fleet fleet(static_cast<std::size_t>(state.range(0)));
    const ReplicaPicker picker;
    for (auto step : state)
        benchmark::DoNotOptimize(picker.pick(service, {}, fleet.view, fleet.random, fleet.now));
    state.SetComplexityN(state.range(0));
}

void takeLoadReport(benchmark::State& state)
{
    Fleet fleet(static_cast<std::size_t>(state.range(0)));
    std::size_t number = 0;
    for (auto step : state) {
        fleet.view.report(fleet.id(number % fleet.endpoints.size()), fleet.report(number + number / fleet.endpoints.size()), fleet.now);
        ++number;
    }
    state.SetComplexityN(state.range(0));
}

void changeMembership(benchmark::State& state)
{
    Fleet fleet(static_cast<std::size_t>(state.range(0)));
    std::size_t number = 0;
    for (auto step : state) {
        const Endpoint& endpoint = fleet.endpoints[number++ % fleet.endpoints.size()];
        fleet.view.remove(endpoint.id());
        fleet.view.put(endpoint);
    }
    state.SetComplexityN(state.range(0));
}

/** One request of 290 accounts through the fair queue, all of them backlogged. */
void admitRequest(benchmark::State& state)
{
    Configuration::Builder builder;
    for (std::int64_t account = 0; account < state.range(0); ++account)
        builder.account({ AccountId("account-" + std::to_string(account)), 1, 0, 100000 });
    AdmissionController admission(builder.build(), AdmissionLimits { 64, 1000000 });
    TimePoint now { std::chrono::hours(1) };
    std::uint64_t next = 0;
    std::vector<RequestId> running;
    const auto offer = [&] {
        const RequestId request("request-" + std::to_string(next));
        const AccountId account("account-" + std::to_string(next++ % static_cast<std::uint64_t>(state.range(0))));
        if (std::holds_alternative<Admitted>(admission.offer({ request, account, 0, now + std::chrono::hours(9), 64, ModelId("m") }, now)))
            running.push_back(request);
    };
    for (std::int64_t request = 0; request < state.range(0) * 2 + 64; ++request)
        offer();
    std::size_t turn = 0;
    for (auto step : state) {
        offer();
        RequestId& place = running[turn++ % running.size()];
        place = admission.finished(place, now).at(0);
    }
    state.SetComplexityN(state.range(0));
}

}

BENCHMARK(planChain)->Arg(40)->Arg(400)->Arg(1700)->Arg(12000)->Complexity(benchmark::oLogN);
BENCHMARK(pickReplica)->Arg(40)->Arg(400)->Arg(1700)->Arg(12000)->Complexity(benchmark::oLogN);
BENCHMARK(takeLoadReport)->Arg(40)->Arg(400)->Arg(1700)->Arg(12000)->Complexity(benchmark::oLogN);
BENCHMARK(changeMembership)->Arg(40)->Arg(400)->Arg(1700)->Arg(12000)->Complexity(benchmark::oLogN);
BENCHMARK(admitRequest)->Arg(10)->Arg(100)->Arg(290)->Complexity(benchmark::oLogN);

BENCHMARK_MAIN();
