#include "Scenarios.h"

#include <array>
#include <cmath>
#include <string>

namespace filbertspoke::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t engineCount = 40;
constexpr std::uint32_t modelLayers = 24;
constexpr double saturating = 1.15; ///< offered over the bound
constexpr double moderate = 0.75;

/** \brief Tokens a second at full batch of the five kinds of accelerators, for a third of the model. */
constexpr std::array<double, 5> kindRates { 300, 400, 600, 800, 1200 };

using DomainNames = std::array<const char*, 3>;
constexpr DomainNames addis { "addis-bole", "addis-merkato", "addis-piassa" };
constexpr DomainNames riga { "riga-a", "riga-b", "riga-c" };

std::vector<DaemonSpec> fourDaemons(const DomainNames& domains)
{
    return {
        { DaemonId("daemon-1"), FailureDomainId(domains[0]) },
        { DaemonId("daemon-2"), FailureDomainId(domains[1]) },
        { DaemonId("daemon-3"), FailureDomainId(domains[2]) },
        { DaemonId("daemon-4"), FailureDomainId(domains[0]) },
    };
}

std::string engineName(std::size_t number)
{
    return std::string("engine-") + (number < 10 ? "0" : "") + std::to_string(number);
}

EngineSpec engine(std::size_t number, const DomainNames& domains, LayerRange layers, double rate)
{
    return { EndpointId(engineName(number)), FailureDomainId(domains[number % domains.size()]), layers, rate, 1 };
}

/** \returns ten accounts of equal weight; three of them offer most of the load */
std::vector<AccountSpec> tenAccounts()
{
    std::vector<AccountSpec> accounts;
    for (std::size_t number = 0; number < 10; ++number)
        accounts.push_back({ AccountId("account-" + std::to_string(number)), 1, number < 3 ? 0.2 : 0.4 / 7 });
    return accounts;
}

/** \returns three equal stages on mixed accelerators */
Scenario gearwell(std::string name)
{
    Scenario scenario;
    scenario.name = std::move(name);
    scenario.daemons = fourDaemons(addis);
    scenario.layers = modelLayers;
    scenario.accounts = tenAccounts();
    scenario.offeredPart = saturating;
    constexpr std::uint32_t third = modelLayers / 3;
    for (std::size_t number = 0; number < engineCount; ++number) {
        const auto stage = static_cast<std::uint32_t>(number / addis.size() % 3);
        const LayerRange layers(stage * third, (stage + 1) * third);
        scenario.engines.push_back(engine(number, addis, layers, kindRates[number * 7 % kindRates.size()]));
    }
    return scenario;
}

/** \returns halves and quarters that share boundaries, so that there are chains of two, three and four stages */
Scenario association(std::string name)
{
    Scenario scenario;
    scenario.name = std::move(name);
    scenario.daemons = fourDaemons(riga);
    scenario.layers = modelLayers;
    scenario.accounts = tenAccounts();
    scenario.offeredPart = saturating;
    constexpr std::uint32_t half = modelLayers / 2;
    constexpr std::uint32_t quarter = modelLayers / 4;
    const std::array<LayerRange, 6> ranges { LayerRange(0, half), LayerRange(half, modelLayers), LayerRange(0, quarter),
        LayerRange(quarter, half), LayerRange(half, half + quarter), LayerRange(half + quarter, modelLayers) };
    for (std::size_t number = 0; number < engineCount; ++number) {
        const LayerRange layers = ranges[number / 3 % ranges.size()];
        const double shorter = static_cast<double>(modelLayers) / 3 / layers.size();
        scenario.engines.push_back(engine(number, riga, layers, kindRates[number * 7 % kindRates.size()] * shorter));
    }
    return scenario;
}

Scenario withFault(Scenario scenario, Fault fault)
{
    scenario.fault = fault;
    return scenario;
}

Scenario at(Scenario scenario, double offeredPart)
{
    scenario.offeredPart = offeredPart;
    return scenario;
}

/** \returns links up to a hundred times apart */
Scenario skewedLinks(Scenario scenario)
{
    for (std::size_t number = 0; number < scenario.engines.size(); ++number)
        scenario.engines[number].linkFactor = std::pow(10.0, static_cast<double>(number * 11 % 5) / 2);
    return scenario;
}

/** \returns one account that asks for more than there is, and nine that ask for less than their due */
Scenario oneLargeAccount(Scenario scenario)
{
    scenario.offeredPart = 2;
    for (std::size_t number = 0; number < scenario.accounts.size(); ++number)
        scenario.accounts[number].loadPart = number == 0 ? 0.64 : 0.04;
    return scenario;
}

}

std::vector<Scenario> allScenarios()
{
    return {
        gearwell("gearwell"),
        at(gearwell("gearwell-moderate"), moderate),
        association("association"),
        at(association("association-moderate"), moderate),
        skewedLinks(gearwell("skewed-links")),
        at(skewedLinks(gearwell("skewed-moderate")), moderate),
        oneLargeAccount(gearwell("one-large-account")),
        withFault(gearwell("stage-lost"), StageLost { false }),
        withFault(gearwell("stage-silent"), StageLost { true }),
        withFault(at(gearwell("links-degraded"), moderate), LinksDegraded { 10 }),
        withFault(gearwell("domain-cut"), DomainCut { 3s }),
        withFault(gearwell("half-leave"), HalfLeave {}),
        withFault(gearwell("platform-away"), PlatformAway { 5s }),
        withFault(at(gearwell("retry-storm"), moderate), RetryStorm { 1s }),
    };
}

}
