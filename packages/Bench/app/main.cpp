#include <filbertspoke/Bench>

#include <CLI/CLI.hpp>

#include <iostream>
#include <string>
#include <vector>

using namespace filbertspoke;

int main(int argc, char** argv)
{
    CLI::App app("Drives the decision object under load and faults, in virtual time, beside its baselines.");
    std::string chosenScenario = "all";
    std::string chosenPolicy = "all";
    std::uint64_t seed = 1;
    app.add_option("scenario", chosenScenario, "a scenario's name, or all");
    app.add_option("--policy", chosenPolicy, "a policy's name, or all");
    app.add_option("--seed", seed, "the same seed prints the same rows");
    CLI11_PARSE(app, argc, argv);

    std::vector<bench::Result> results;
    for (const bench::Scenario& scenario : bench::allScenarios()) {
        if (chosenScenario != "all" && chosenScenario != scenario.name)
            continue;
        for (const bench::Policy policy : bench::allPolicies()) {
            if (chosenPolicy != "all" && chosenPolicy != bench::name(policy))
                continue;
            results.push_back(bench::Trial(scenario, policy, seed).run());
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
