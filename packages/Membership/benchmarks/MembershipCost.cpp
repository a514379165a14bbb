// Measures the CPU time per membership event by the number of endpoints or daemons.
#include <filbertspoke/Membership>

#include <benchmark/benchmark.h>

#include <chrono>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

EndpointId endpointNumber(std::int64_t number) { return EndpointId("assistant-" + std::to_string(number)); }

std::vector<ListedHost> endpointList(std::int64_t count)
{
    std::vector<ListedHost> hosts;
    for (std::int64_t number = 0; number < count; ++number) {
        const Endpoint endpoint = Endpoint::Builder(endpointNumber(number))
                                      .host(HostId("host-" + std::to_string(number)))
                                      .address("10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250), 8000)
                                      .failureDomain(FailureDomainId("domain-" + std::to_string(number % 7)))
                                      .role(ServiceRole { ServiceId("assistant") })
                                      .build();
        hosts.push_back({ endpoint, false });
    }
    return hosts;
}

ListedDaemon daemonNumber(std::int64_t number)
{
    return { DaemonId("entry-" + std::to_string(number)), FailureDomainId("domain-" + std::to_string(number % 7)),
        "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250), 7000 };
}

PeerStatus statusOf(std::int64_t number) { return { daemonNumber(number).id, 1'700'000'000'000'000, 1, 60, false }; }

void endpointReport(benchmark::State& state)
{
    EndpointDirectory directory;
    directory.listed(endpointList(state.range(0)), TimePoint(1s));
    TimePoint now { 2s };
    std::int64_t number = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(directory.reported(endpointNumber(number++ % state.range(0)), false, std::nullopt, now));
        now += 1ms;
    }
    state.SetComplexityN(state.range(0));
}

void listReading(benchmark::State& state)
{
    const std::vector<ListedHost> hosts = endpointList(state.range(0));
    EndpointDirectory directory;
    TimePoint now { 1s };
    for (auto _ : state) {
        benchmark::DoNotOptimize(directory.listed(hosts, now));
        now += 1s;
    }
    state.SetComplexityN(state.range(0));
}

void endpointLeaves(benchmark::State& state)
{
    EndpointDirectory directory;
    directory.listed(endpointList(state.range(0)), TimePoint(1s));
    TimePoint now { 2s };
    std::int64_t number = 0;
    for (auto _ : state) {
        const EndpointObservation observation { endpointNumber(number++ % state.range(0)), EndpointSignal::Draining, 10ms };
        benchmark::DoNotOptimize(directory.heard({ observation }, now));
        benchmark::DoNotOptimize(directory.takeObservations(8, 15, now));
        now += 1s;
    }
    state.SetComplexityN(state.range(0));
}

/** One second of a daemon's heartbeats: its own probe with the answer, and a probe from a peer. */
void heartbeatSecond(benchmark::State& state)
{
    Random random(1);
    PeerDirectory directory(daemonNumber(0), 1'700'000'000'000'000);
    TimePoint now { 1s };
    for (std::int64_t number = 1; number < state.range(0); ++number)
        directory.received(PeerProbe { statusOf(number), daemonNumber(number), 1, {} }, now, random);
    for (std::int64_t sent = 0; sent < 4 * state.range(0); ++sent)
        directory.received(PeerProbe { statusOf(1), daemonNumber(1), 1, {} }, now, random);
    std::int64_t number = 0;
    for (auto _ : state) {
        for (const PeerEnvelope& envelope : directory.tick(now, random)) {
            const auto& probe = std::get<PeerProbe>(envelope.message);
            const PeerStatus status { envelope.peer.id, 1'700'000'000'000'000, 1, 60, false };
            benchmark::DoNotOptimize(directory.received(PeerProbeAnswer { status, envelope.peer.id, probe.sequence, {} }, now, random));
        }
        const std::int64_t from = 1 + number++ % (state.range(0) - 1);
        benchmark::DoNotOptimize(directory.received(PeerProbe { statusOf(from), daemonNumber(from), 1, {} }, now, random));
        now += 1s;
    }
    state.SetComplexityN(state.range(0));
}

void endpointCounts(benchmark::internal::Benchmark* cost)
{
    cost->Arg(40)->Arg(400)->Arg(1700)->Arg(12000)->Complexity();
}

void daemonCounts(benchmark::internal::Benchmark* cost)
{
    cost->Arg(4)->Arg(40)->Arg(200)->Arg(1400)->Complexity();
}

BENCHMARK(endpointReport)->Apply(endpointCounts);
BENCHMARK(listReading)->Apply(endpointCounts);
BENCHMARK(endpointLeaves)->Apply(endpointCounts);
BENCHMARK(heartbeatSecond)->Apply(daemonCounts);

}

BENCHMARK_MAIN();
