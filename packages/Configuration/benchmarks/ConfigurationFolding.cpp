#include <filbertspoke/Configuration>

#include <benchmark/benchmark.h>

#include <string>

using namespace filbertspoke;

namespace {

Questionnaire questionnaireOf(std::int64_t accounts)
{
    Questionnaire::Builder builder("Gearwell Systems", "workshop-assistant");
    builder.failureDomain(FailureDomainId("addis-bole"));
    builder.service({ ServiceId("bench-app"), std::chrono::seconds(2), { { "book parts", "POST", "/bookings", false, false } } });
    for (std::int64_t account = 0; account < accounts; ++account)
        builder.account({ AccountId("account-" + std::to_string(account)), 1, 100, 50 });
    return builder.build();
}

std::string answersOf(std::int64_t accounts)
{
    std::string answers = "organisation: Gearwell Systems\nteam: workshop-assistant\nweighsMore: throughput\nfailureDomains: [addis-bole]\n"
                          "services:\n    - {name: bench-app, answerWithinMs: 2000, calls: [{what: book parts, method: POST, path: /bookings, mayBeRepeated: no}]}\naccounts:\n";
    for (std::int64_t account = 0; account < accounts; ++account)
        answers += "    - {name: account-" + std::to_string(account) + ", share: 1, requestsPerSecond: 100, requestsAtOnce: 50}\n";
    return answers;
}

// Applies one accepted change, including parsing of its record, generation and merging.
void foldOneChange(benchmark::State& state)
{
    Approval approval;
    approval.change = "change";
    approval.author = "hanna";
    approval.approver = "dawit";
    approval.answers = answersOf(state.range(0));
    const ConfigurationChange change = makeChange(questionnaireOf(state.range(0)), approval, std::nullopt);
    const LogRecord record { std::string(configurationStream), 0, configurationRecordJson(change) };
    for (auto _ : state) {
        ConfigurationFold fold;
        benchmark::DoNotOptimize(fold.apply(record));
    }
    state.counters["recordBytes"] = static_cast<double>(record.payload.size());
}

}

BENCHMARK(foldOneChange)->Arg(10)->Arg(40)->Arg(290)->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
