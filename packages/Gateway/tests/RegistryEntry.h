#ifndef FILBERTSPOKE_REGISTRY_ENTRY_H
#define FILBERTSPOKE_REGISTRY_ENTRY_H

#include <filbertspoke/Gateway>

#include <string>

namespace filbertspoke::testing {

inline const ServiceId registryService("app");

/** \returns an endpoint's entry in the registry; all of them are in one failure domain and of one run */
inline RegisteredEndpoint registryEntry(const std::string& id, std::uint64_t heartbeat, bool draining = false)
{
    RegisteredEndpoint endpoint;
    endpoint.id = EndpointId(id);
    endpoint.service = registryService;
    endpoint.address = { "10.0.0.1", static_cast<std::uint16_t>(8000 + id.back()) };
    endpoint.failureDomain = FailureDomainId("a");
    endpoint.heartbeat = heartbeat;
    endpoint.startedAtMs = 1000;
    endpoint.draining = draining;
    return endpoint;
}

}

#endif
