#ifndef FILBERTSPOKE_REPLICA_PICKER_H
#define FILBERTSPOKE_REPLICA_PICKER_H

#include "EndpointView.h"

#include <filbertspoke/Core>

#include <vector>

namespace filbertspoke {

/** \brief Chooses the replica of a plain service for a call, among a few random candidates. */
class ReplicaPicker {
public:
    /** \brief Picks the sampled replica with the least expected time for a call.
     * \returns an available replica that is not in \a excluded, or ErrorCode::NoEndpoint */
    Result<EndpointId> pick(const ServiceId&, const std::vector<EndpointId>& excluded, const EndpointView&, Random&, TimePoint) const;
};

}

#endif
