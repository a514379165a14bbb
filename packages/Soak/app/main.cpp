#include <filbertspoke/Soak>

#include <CLI/CLI.hpp>

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

using namespace filbertspoke;

namespace {

void keepLog(const std::string& folder, const std::string& name, const std::vector<std::string>& lines)
{
    if (folder.empty())
        return;
    std::filesystem::create_directories(folder);
    std::ofstream file(std::filesystem::path(folder) / name);
    for (const std::string& line : lines)
        file << line << '\n';
    if (!file.flush())
        std::cerr << "can't write the log " << name << " to " << folder << std::endl;
}

}

int main(int argc, char** argv)
{
    CLI::App app("filbertspoke-soak: real gateways under random faults; 0 when every promise was kept", "filbertspoke-soak");
    std::uint64_t seed = 1;
    unsigned seeds = 1;
    unsigned seconds = 10;
    bool verbose = false;
    bool cutOffs = false;
    std::string logs;
    app.add_option("--seed", seed, "the first seed");
    app.add_option("--seeds", seeds, "how many seeds, one after the other");
    app.add_option("--seconds", seconds, "how long faults come in each run");
    app.add_flag("--cut-offs", cutOffs, "also cut gateways off from all endpoints");
    app.add_option("--logs", logs, "folder for the whole logs of the gateways of a run that broke a promise");
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
        for (const auto& [gateway, lines] : outcome.logs)
            keepLog(logs, "seed-" + std::to_string(current) + "-" + gateway + ".log", lines);
        failed += outcome.violations.empty() ? 0 : 1;
    }
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
