#ifndef FILBERTSPOKE_REGISTERED_ENDPOINT_H
#define FILBERTSPOKE_REGISTERED_ENDPOINT_H

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <cstdint>

namespace filbertspoke {

/** \brief What an endpoint says of itself in the platform's registry. */
struct RegisteredEndpoint {
    EndpointId id;
    ServiceId service;
    SocketAddress address;
    FailureDomainId failureDomain;
    bool draining = false;
    std::uint32_t slots = 0;
    AcceleratorId accelerator; ///< empty for plain services
    LayerRange layers; ///< empty for plain services and for engines that hold nothing
    std::uint64_t heartbeat = 0; ///< counts the endpoint's own writes since its start
    std::int64_t startedAtMs = 0; ///< Unix time; tells two runs under one id apart

    auto operator<=>(const RegisteredEndpoint&) const = default;
};

}

#endif
