#ifndef FILBERTSPOKE_INTERNAL_CHAIN_RESERVATION_H
#define FILBERTSPOKE_INTERNAL_CHAIN_RESERVATION_H

#include "../GatewayContext.h"

#include <utility>
#include <vector>

namespace filbertspoke::internal {

/** \brief RAII reservation of the load that a generation causes at the engines and domain links of its chain. */
class ChainReservation {
public:
    ChainReservation(GatewayContext& context, const LayerChain& chain)
        : context(context)
    {
        for (const LayerStage& stage : chain.stages)
            this->reservations.emplace_back(stage.endpoint, WorkInProgress { 1, chain.tokens * stage.layers.size() });
        for (const DomainLink& link : chain.crossings)
            this->reservations.emplace_back(link.name(), WorkInProgress { 1, 0 });
        for (const auto& [resource, work] : this->reservations)
            this->context.loads.begin(resource, work);
    }

    ~ChainReservation()
    {
        for (const auto& [resource, work] : this->reservations)
            this->context.loads.end(resource, work);
        ++this->context.capacityChanges;
        this->context.waiters.wakeHeads();
    }

    ChainReservation(const ChainReservation&) = delete;
    ChainReservation& operator=(const ChainReservation&) = delete;

private:
    GatewayContext& context;
    std::vector<std::pair<EndpointId, WorkInProgress>> reservations;
};

}

#endif
