#ifndef FILBERTSPOKE_REGISTERED_ENDPOINT_H
#define FILBERTSPOKE_REGISTERED_ENDPOINT_H

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <cstdint>

namespace filbertspoke {

/** \brief An endpoint's own entry in the platform's registry. */
struct RegisteredEndpoint {
    EndpointId id;
    ServiceId service;
    SocketAddress address;
    FailureDomainId failureDomain;
    bool draining = false;
    std::uint32_t slots = 0; ///< number of requests that the endpoint runs concurrently
    AcceleratorId accelerator; ///< empty for plain services
    LayerRange layers; ///< empty for plain services and for engines that hold no layers
    std::uint64_t heartbeat = 0; ///< number of writes by the endpoint since its start
    std::int64_t startedAtMs = 0; ///< Unix time of the start in ms; distinguishes runs of an endpoint with the same id

    auto operator<=>(const RegisteredEndpoint&) const = default;
};

}

#endif
