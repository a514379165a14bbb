// Costs and sizes that docs/CAPACITY.md multiplies out.
#include <filbertspoke/Bench>
#include <filbertspoke/Configuration>
#include <filbertspoke/Idempotency>
#include <filbertspoke/Peer>

#include <benchmark/benchmark.h>

#include "../filbertspoke/src/Bench/ScenarioConfiguration.h"

#include <malloc.h>

#include <chrono>
#include <deque>
#include <string>
#include <vector>

using namespace filbertspoke;

namespace {

constexpr std::uint32_t stages = 3;

std::size_t heapBytes() { return mallinfo2().uordblks; }

/** \brief A Router with engines, whose steps are answered by hand. */
class RouterUnderTest {
public:
    explicit RouterUnderTest(std::size_t engines)
        : router({ DaemonId("daemon-1"), FailureDomainId("addis-bole"), 1 }, 1)
    {
        const bench::Scenario scenario = bench::allScenarios().front();
        this->take(this->router.start(this->now));
        this->handle(RecordsRead { std::string(configurationStream), { bench::configurationRecord(scenario) }, 0, 1 });
        std::vector<ListedHost> hosts;
        hosts.reserve(engines);
        for (std::size_t number = 0; number < engines; ++number)
            hosts.push_back({ this->engine(number, scenario.layers), false });
        this->handle(HostsListed { hosts });
        for (const ListedHost& host : hosts) {
            const auto& endpoint = std::get<Endpoint>(host.member);
            this->handle(EndpointReported { endpoint.id(), { 0, 0, 1e6, false }, std::get<EngineRole>(endpoint.role()) });
        }
    }

    void handle(const Event& event) { this->take(this->router.handle(event, this->now)); }

    void offer()
    {
        CompletionReceived event;
        event.request = RequestId("request-" + std::to_string(this->requests++));
        event.account = AccountId("account-0");
        event.model = ModelId("assistant-llm");
        event.prompt = this->prompt;
        event.maximumTokens = bench::answerTokens;
        this->handle(event);
    }

    /** \brief Answers the step that has waited longest. */
    void answerStep()
    {
        const SendStep sent = this->steps.front();
        this->steps.pop_front();
        this->now = this->now.after(std::chrono::microseconds(10));
        this->handle(StepAnswered { sent.endpoint, StepReceipt(sent.step, StepStatus::Ok, "token") });
    }

    bool idle() const { return this->steps.empty(); }

private:
    void take(const Actions& actions)
    {
        for (const Action& action : actions) {
            if (const auto* step = std::get_if<SendStep>(&action))
                this->steps.push_back(*step);
        }
    }

    Endpoint engine(std::size_t number, std::uint32_t layers) const
    {
        const auto stage = static_cast<std::uint32_t>(number % stages);
        const std::uint32_t size = layers / stages;
        return Endpoint::Builder(EndpointId("engine-" + std::to_string(number)))
            .host(HostId("host-" + std::to_string(number)))
            .address("127.0.0.1", 7000)
            .failureDomain(FailureDomainId("addis-bole"))
            .role(EngineRole { ModelId("assistant-llm"), "1", { stage * size, (stage + 1) * size } })
            .build();
    }

    Router router;
    Now now { TimePoint(std::chrono::hours(1)), WallTime(std::chrono::hours(1)) };
    std::deque<SendStep> steps;
    std::uint64_t requests = 0;
    std::string prompt = [] {
        std::string text;
        for (std::uint32_t token = 0; token < bench::promptTokens; ++token)
            text += "word ";
        return text;
    }();
};

void answerStep(benchmark::State& state)
{
    RouterUnderTest router(static_cast<std::size_t>(state.range(0)));
    for (int stream = 0; stream < 60; ++stream)
        router.offer();
    for (auto step : state) {
        router.answerStep();
        if (router.idle()) {
            state.PauseTiming();
            for (int stream = 0; stream < 60; ++stream)
                router.offer();
            state.ResumeTiming();
        }
    }
    state.SetComplexityN(state.range(0));
}

void wholeCompletion(benchmark::State& state)
{
    RouterUnderTest router(static_cast<std::size_t>(state.range(0)));
    for (auto step : state) {
        router.offer();
        while (!router.idle())
            router.answerStep();
    }
    state.SetComplexityN(state.range(0));
}

void memoryOfEndpoints(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    for (auto step : state) {
        const std::size_t before = heapBytes();
        const RouterUnderTest router(count);
        state.counters["bytesPerEndpoint"] = static_cast<double>(heapBytes() - before) / static_cast<double>(count);
    }
}

void memoryOfStreams(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    RouterUnderTest router(40);
    for (auto step : state) {
        const std::size_t before = heapBytes();
        for (std::size_t stream = 0; stream < count; ++stream)
            router.offer();
        state.counters["bytesPerStream"] = static_cast<double>(heapBytes() - before) / static_cast<double>(count);
        while (!router.idle())
            router.answerStep();
    }
}

void loadReportBytes(benchmark::State& state)
{
    LoadReports reports;
    for (std::int64_t number = 0; number < state.range(0); ++number)
        reports.loads.push_back({ EndpointId("engine-" + std::to_string(10000 + number)), { 3, 4, 412.5, false }, std::chrono::milliseconds(120) });
    for (auto step : state)
        state.counters["bytes"] = static_cast<double>(encodePeerFrame({ DaemonId("daemon-1"), reports }).size());
}

void demandBytes(benchmark::State& state)
{
    DemandReport report;
    for (std::int64_t number = 0; number < state.range(0); ++number)
        report.demands.push_back({ AccountId("account-" + std::to_string(1000 + number)), 12.5, 40 });
    for (auto step : state)
        state.counters["bytes"] = static_cast<double>(encodePeerFrame({ DaemonId("daemon-1"), report }).size());
}

void heartbeatBytes(benchmark::State& state)
{
    PeerProbe probe;
    probe.status = { DaemonId("daemon-1"), 1700000000000000, 123456, 42, false };
    probe.self = { DaemonId("daemon-1"), FailureDomainId("addis-bole"), "10.0.0.1", 7000 };
    for (std::int64_t word = 0; word < state.range(0); ++word)
        probe.gossip.endpoints.push_back({ EndpointId("engine-" + std::to_string(10000 + word)), EndpointSignal::Silent, std::chrono::seconds(1) });
    for (auto step : state)
        state.counters["bytes"] = static_cast<double>(encodePeerFrame({ DaemonId("daemon-1"), probe }).size());
}

void claimBytes(benchmark::State& state)
{
    const KeyAttempt attempt { "018f2f6e-7c1a-7000-8000-0123456789ab", 1, { DaemonId("daemon-1"), 1700000000000000 } };
    const KeyRecord claim { WallTime(), 123456, ClaimRecord { attempt, std::string(64, 'a'), WallTime() } };
    const KeyRecord outcome { WallTime(), 123456, OutcomeRecord { attempt, { 201, "application/json", "{\"booking\":\"12345\"}", false } } };
    for (auto step : state) {
        state.counters["claim"] = static_cast<double>(encodeKeyRecord(claim).size());
        state.counters["outcome"] = static_cast<double>(encodeKeyRecord(outcome).size());
    }
}

void foldChange(benchmark::State& state)
{
    bench::Scenario scenario = bench::allScenarios().front();
    scenario.accounts.clear();
    for (std::int64_t number = 0; number < state.range(0); ++number)
        scenario.accounts.push_back({ AccountId("account-" + std::to_string(number)), 1, 0 });
    const LogRecord record = bench::configurationRecord(scenario);
    for (auto step : state) {
        ConfigurationFold fold;
        benchmark::DoNotOptimize(fold.apply(record));
    }
    state.counters["recordBytes"] = static_cast<double>(record.payload.size());
    state.SetComplexityN(state.range(0));
}

}

BENCHMARK(answerStep)->Arg(40)->Arg(400)->Arg(1700)->Arg(12000)->Complexity(benchmark::oLogN);
BENCHMARK(wholeCompletion)->Arg(40)->Arg(400)->Arg(1700)->Arg(12000)->Complexity(benchmark::oLogN);
BENCHMARK(memoryOfEndpoints)->Arg(40)->Arg(400)->Arg(1700)->Arg(12000)->Iterations(1);
BENCHMARK(memoryOfStreams)->Arg(100)->Arg(1000)->Iterations(1);
BENCHMARK(loadReportBytes)->Arg(1)->Arg(8)->Arg(64);
BENCHMARK(demandBytes)->Arg(10)->Arg(290);
BENCHMARK(heartbeatBytes)->Arg(0)->Arg(8);
BENCHMARK(claimBytes);
BENCHMARK(foldChange)->Arg(10)->Arg(100)->Arg(290)->Complexity(benchmark::oN);

BENCHMARK_MAIN();
