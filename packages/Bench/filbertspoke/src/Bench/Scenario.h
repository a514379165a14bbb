#ifndef FILBERTSPOKE_SCENARIO_H
#define FILBERTSPOKE_SCENARIO_H

#include <filbertspoke/Core>
#include <filbertspoke/Routing>

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace filbertspoke::bench {

/** \brief One fake engine. */
struct EngineSpec {
    EndpointId id;
    FailureDomainId failureDomain;
    LayerRange layers;
    double tokensPerSecond = 0; ///< at full batch
    double linkFactor = 1; ///< delay of its link over the usual one
};

/** \brief One daemon under test. */
struct DaemonSpec {
    DaemonId id;
    FailureDomainId failureDomain;
};

/** \brief One client account with the part of the load that it offers. */
struct AccountSpec {
    AccountId id;
    std::uint32_t weight = 1;
    double loadPart = 0;
};

/** \brief An engine of the middle range ends; its connections are reset, or just fall silent. */
struct StageLost {
    bool silent = false;
};

/** \brief The link of every third engine gets slower. */
struct LinksDegraded {
    double factor = 10;
};

/** \brief Nothing passes between the first failure domain and the others for a time. */
struct DomainCut {
    Duration length {};
};

/** \brief Half of the engines leave gracefully: listed as leaving, and gone once they are idle. */
struct HalfLeave {
};

/** \brief The log and the host list don't answer for a time. */
struct PlatformAway {
    Duration length {};
};

/** \brief All engines of the last range refuse connections for a time, and callers repeat what is refused at once. */
struct RetryStorm {
    Duration length {};
};

using Fault = std::variant<std::monostate, StageLost, LinksDegraded, DomainCut, HalfLeave, PlatformAway, RetryStorm>;

/** \brief A deployment, its load and what happens to it. */
struct Scenario {
    std::string name;
    std::vector<DaemonSpec> daemons;
    std::vector<EngineSpec> engines;
    std::uint32_t layers = 0;
    std::vector<AccountSpec> accounts;
    double offeredPart = 1; ///< load over the bound
    Duration length = std::chrono::seconds(12); ///< of the load
    Duration warmUp = std::chrono::seconds(4); ///< not measured
    Duration faultAt = std::chrono::seconds(6);
    Fault fault;
};

constexpr std::uint32_t promptTokens = 32; ///< of every request
constexpr std::uint32_t answerTokens = 64; ///< of every request

}

#endif
