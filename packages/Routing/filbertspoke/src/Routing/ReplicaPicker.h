#ifndef FILBERTSPOKE_SERVICE_PICKER_H
#define FILBERTSPOKE_SERVICE_PICKER_H

#include "EndpointView.h"

#include <filbertspoke/Core>

#include <vector>

namespace filbertspoke {

/** \brief Chooses the replica of a plain service that a call goes to. */
class ReplicaPicker {
public:
    /** \returns a replica that is not in \a excluded, or ErrorCode::NoEndpoint */
    Result<EndpointId> pick(const ServiceId&, const std::vector<EndpointId>& excluded, const EndpointView&, Random&, TimePoint) const;
};

}

#endif
