#include <filbertspoke/Bench>

#include <CLI/CLI.hpp>

#include <cstdint>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

using namespace filbertspoke;

namespace {

struct Choice {
    std::string scenario = "all";
    std::string policy = "all";
    std::uint64_t seed = 1;

    bool matches(const std::string& name) const { return this->scenario == "all" || this->scenario == name; }
    bool matches(bench::Policy candidate) const { return this->policy == "all" || this->policy == bench::name(candidate); }
};

int runScenarios(const Choice& choice)
{
    std::vector<bench::Result> results;
    for (const bench::Scenario& scenario : bench::allScenarios()) {
        if (!choice.matches(scenario.name))
            continue;
        for (const bench::Policy policy : bench::allPolicies()) {
            if (!choice.matches(policy))
                continue;
            results.push_back(bench::Trial(scenario, policy, choice.seed).run());
            std::cout << bench::toJson(results.back()) << std::endl;
        }
    }
    if (results.empty()) {
        std::cerr << "no scenario or policy has this name\n";
        return 1;
    }
    bench::writeTable(std::cout, results);
    return 0;
}

int compareLoadReports(std::uint64_t seed)
{
    std::cout << std::left << std::setw(24) << "scenario" << std::setw(16) << "reports" << std::right << std::setw(12) << "a second"
              << std::setw(12) << "mean error" << std::setw(12) << "p95 error" << '\n';
    for (const bench::Scenario& scenario : bench::allScenarios()) {
        if (scenario.name != "gearwell" && scenario.name != "gearwell-moderate")
            continue;
        bench::Trial trial(scenario, bench::Policy::ExpectedTime, seed);
        trial.run();
        for (const bench::ReportingCost& cost : bench::compareReporting(trial.loads())) {
            std::cout << std::left << std::setw(24) << scenario.name << std::setw(16) << cost.way << std::right << std::fixed << std::setprecision(2)
                      << std::setw(12) << cost.reportsPerSecond << std::setw(12) << cost.meanError << std::setw(12) << cost.p95Error << '\n';
        }
    }
    return 0;
}

int measureAccountLimits(std::uint64_t seed)
{
    std::cout << std::left << std::setw(18) << "demand" << std::setw(16) << "links" << std::right << std::setw(10) << "offered"
              << std::setw(10) << "passed" << std::setw(14) << "worst second" << '\n';
    for (const bench::LimitSharingResult& result : bench::measureLimitSharing(seed)) {
        std::cout << std::left << std::setw(18) << result.demand << std::setw(16) << result.links << std::right << std::fixed << std::setprecision(2)
                  << std::setw(10) << result.offeredOverLimit << std::setw(10) << result.passedOverLimit << std::setw(14) << result.worstSecond << '\n';
    }
    return 0;
}

}

int main(int argc, char** argv)
{
    CLI::App app("Drives the decision object under load and faults, in virtual time, beside its baselines.");
    Choice choice;
    app.add_option("scenario", choice.scenario, "a scenario's name, all, load-reports or account-limits");
    app.add_option("--policy", choice.policy, "a policy's name, or all");
    app.add_option("--seed", choice.seed, "the same seed prints the same rows");
    CLI11_PARSE(app, argc, argv);
    if (choice.scenario == "account-limits")
        return measureAccountLimits(choice.seed);
    return choice.scenario == "load-reports" ? compareLoadReports(choice.seed) : runScenarios(choice);
}
