// Faults of a SoakRun that cut gateways off from all endpoints.
#include <filbertspoke/Soak>

#include <random>
#include <utility>
#include <vector>

namespace filbertspoke::soak {

namespace {

constexpr int shortestPauseMs = 300;
constexpr int longestPauseMs = 2000;
// Both sides of the time after which the gateways have to serve as the others do.
constexpr int shortestCutMs = 500;
constexpr int longestCutMs = 7000;
// Both channels and new connections hang; both are reset; channels live on and new connections are refused.
const std::vector<std::string> modes { "unreachable", "reset-refuse", "refuse" };
// The first has two gateways, the others one each.
const std::vector<std::string> domains { "zone-a", "zone-b", "zone-c" };

}

SoakRun::Task SoakRun::injectCutOffs()
{
    const auto draw = [this](int from, int to) { return std::uniform_int_distribution<int>(from, to)(this->cutOffRandom); };
    const auto drawOf = [&draw](const std::vector<std::string>& list) { return list[static_cast<std::size_t>(draw(0, static_cast<int>(list.size()) - 1))]; };
    const auto end = Clock::now() + this->length;
    while (Clock::now() < end) {
        co_await this->sleep(std::chrono::milliseconds(draw(shortestPauseMs, longestPauseMs)));
        const std::string domain = drawOf(domains);
        const std::string mode = drawOf(modes);
        const auto lasting = std::chrono::milliseconds(draw(shortestCutMs, longestCutMs));
        const std::string name = "cut " + domain + " off from all endpoints: " + mode + " for " + std::to_string(lasting.count()) + " ms";
        Task fault = this->cutOff(domain, mode, lasting);
        co_await this->runFault(name, std::move(fault));
    }
}

SoakRun::Task SoakRun::cutOff(std::string domain, std::string mode, std::chrono::milliseconds duration)
{
    CutOffRecord cut { {}, Clock::now(), Clock::now() + duration };
    for (std::size_t gateway = 0; gateway < this->site.gateways.size(); ++gateway) {
        if (this->site.gateways[gateway].text.domain == domain)
            cut.gateways.insert(gateway);
    }
    this->record.note(cut);
    this->site.controlPaths(domain, { { "mode", mode } });
    co_await this->sleep(duration);
    this->site.controlPaths(domain, { { "mode", "forward" } });
}

}
