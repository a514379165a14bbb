#include <filbertspoke/Soak>

#include <CLI/CLI.hpp>

#include <cstdint>
#include <cstdlib>
#include <iostream>

using namespace filbertspoke;

int main(int argc, char** argv)
{
    CLI::App app("filbertspoke-soak: real gateways under random faults; 0 when every promise was kept", "filbertspoke-soak");
    std::uint64_t seed = 1;
    unsigned seeds = 1;
    unsigned seconds = 10;
    bool verbose = false;
    bool cutOffs = false;
    app.add_option("--seed", seed, "the first seed");
    app.add_option("--seeds", seeds, "how many seeds, one after the other");
    app.add_option("--seconds", seconds, "how long faults come in each run");
    app.add_flag("--cut-offs", cutOffs, "also cut gateways off from all endpoints");
    app.add_flag("--verbose", verbose, "print the faults of each run");
    CLI11_PARSE(app, argc, argv);

    int failed = 0;
    for (std::uint64_t current = seed; current < seed + seeds; ++current) {
        const soak::SoakOutcome outcome = soak::SoakRun(current, std::chrono::seconds(seconds), cutOffs ? soak::SoakPaths::ByDomain : soak::SoakPaths::Shared).run();
        std::cout << "seed " << current << ": " << outcome.requests << " requests, " << outcome.answered << " answered, " << outcome.faults.size() << " faults, "
                  << outcome.violations.size() << " promises broken" << std::endl;
        for (const std::string& fault : outcome.faults) {
            if (verbose || !outcome.violations.empty())
                std::cout << "    fault: " << fault << '\n';
        }
        for (const std::string& violation : outcome.violations)
            std::cout << "    broken: " << violation << '\n';
        for (const std::string& line : outcome.log)
            std::cout << "    log: " << line << '\n';
        failed += outcome.violations.empty() ? 0 : 1;
    }
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
