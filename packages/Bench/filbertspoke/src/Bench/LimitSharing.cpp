#include "LimitSharing.h"

#include <filbertspoke/Routing>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <random>

namespace filbertspoke::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t daemonCount = 4;
constexpr double limit = 200; ///< requests a second
constexpr std::size_t measuredSeconds = 30;
constexpr Duration warmUp = 5s;
constexpr Duration exchangeInterval = 500ms;
const AccountId account("account");

/** \returns the daemon that takes a request at a time */
using Placement = std::function<std::size_t(Duration sinceStart, Random&)>;
using Hears = std::function<bool(std::size_t left, std::size_t right)>;

struct DemandCase {
    const char* name;
    Placement place;
};

struct LinkCase {
    const char* name;
    Hears hears;
};

std::size_t anyDaemon(Random& random)
{
    return std::uniform_int_distribution<std::size_t>(0, daemonCount - 1)(random);
}

const std::array<DemandCase, 3> demandCases { {
    { "even", [](Duration, Random& random) { return anyDaemon(random); } },
    { "one daemon", [](Duration, Random&) { return std::size_t { 0 }; } },
    { "moves every 3 s", [](Duration since, Random&) { return static_cast<std::size_t>(since / 3s) % daemonCount; } },
} };

const std::array<LinkCase, 3> linkCases { {
    { "all connected", [](std::size_t, std::size_t) { return true; } },
    { "one cut off", [](std::size_t left, std::size_t right) { return left != 0 && right != 0; } },
    { "all cut off", [](std::size_t, std::size_t) { return false; } },
} };

void exchange(std::array<AccountLimiter, daemonCount>& daemons, const Hears& hears, TimePoint now)
{
    for (std::size_t from = 0; from < daemonCount; ++from) {
        for (std::size_t to = 0; to < daemonCount; ++to) {
            if (from != to && hears(from, to))
                daemons[to].updatePeerDemand(DaemonId(std::to_string(from)), daemons[from].demand(now), now);
        }
    }
}

LimitSharingResult measure(const DemandCase& demand, const LinkCase& links, double offered, std::uint64_t seed)
{
    std::array<AccountLimiter, daemonCount> daemons;
    for (AccountLimiter& daemon : daemons) {
        daemon.configure(Configuration::Builder().account({ account, 1, limit, 0 }).build());
        daemon.setDaemons(daemonCount);
    }
    Random random(seed);
    std::exponential_distribution<double> gap(limit * offered);
    std::array<double, measuredSeconds> passed {};
    const TimePoint start { 1h };
    TimePoint nextExchange = start;
    for (Duration since {}; since < warmUp + std::chrono::seconds(measuredSeconds); since += Duration(static_cast<Duration::rep>(gap(random) * 1e6))) {
        const TimePoint now = start + since;
        for (; nextExchange <= now; nextExchange += exchangeInterval)
            exchange(daemons, links.hears, nextExchange);
        const bool refused = daemons[demand.place(since, random)].take(account, now).has_value();
        if (since >= warmUp && !refused)
            passed[static_cast<std::size_t>((since - warmUp) / 1s)] += 1 / limit;
    }
    double sum = 0;
    for (const double second : passed)
        sum += second;
    return { demand.name, links.name, offered, sum / measuredSeconds, *std::max_element(passed.begin(), passed.end()) };
}

}

std::vector<LimitSharingResult> measureLimitSharing(std::uint64_t seed)
{
    std::vector<LimitSharingResult> results;
    for (const LinkCase& links : linkCases) {
        for (const DemandCase& demand : demandCases) {
            for (const double offered : { 0.8, 2.0 })
                results.push_back(measure(demand, links, offered, seed));
        }
    }
    return results;
}

}
