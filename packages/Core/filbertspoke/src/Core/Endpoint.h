#ifndef FILBERTSPOKE_ENDPOINT_H
#define FILBERTSPOKE_ENDPOINT_H

#include "Identifier.h"
#include "LayerRange.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>

namespace filbertspoke {

/** \brief The role of an engine: it runs a range of layers of one model version. */
struct EngineRole {
    ModelId model;
    std::string version;
    LayerRange layers;

    bool operator==(const EngineRole&) const = default;
};

/** \brief The role of a replica of a plain service. */
struct ServiceRole {
    ServiceId service;

    bool operator==(const ServiceRole&) const = default;
};

using EndpointRole = std::variant<EngineRole, ServiceRole>;

/** \brief A process that daemons send work to: an engine or a replica of a plain service. */
class Endpoint {
public:
    class Builder;

    const EndpointId& id() const { return this->endpointId; }
    const HostId& host() const { return this->hostId; }
    /** \returns the IP address as text */
    const std::string& address() const { return this->ipAddress; }
    std::uint16_t port() const { return this->tcpPort; }
    const FailureDomainId& failureDomain() const { return this->failureDomainId; }
    const AcceleratorId& accelerator() const { return this->acceleratorId; }
    const EndpointRole& role() const { return this->endpointRole; }
    /** \returns whether the endpoint refuses a request with an outdated fencing token */
    bool checksFencing() const { return this->fencing; }

    bool operator==(const Endpoint&) const = default;

private:
    Endpoint() = default;

    EndpointId endpointId;
    HostId hostId;
    std::string ipAddress;
    std::uint16_t tcpPort = 0;
    FailureDomainId failureDomainId;
    AcceleratorId acceleratorId;
    EndpointRole endpointRole;
    bool fencing = false;
};

/** \brief Builds an Endpoint. */
class Endpoint::Builder {
public:
    explicit Builder(EndpointId id) { this->endpoint.endpointId = std::move(id); }

    Builder& host(HostId id)
    {
        this->endpoint.hostId = std::move(id);
        return *this;
    }
    Builder& address(std::string ip, std::uint16_t port)
    {
        this->endpoint.ipAddress = std::move(ip);
        this->endpoint.tcpPort = port;
        return *this;
    }
    Builder& failureDomain(FailureDomainId id)
    {
        this->endpoint.failureDomainId = std::move(id);
        return *this;
    }
    Builder& accelerator(AcceleratorId id)
    {
        this->endpoint.acceleratorId = std::move(id);
        return *this;
    }
    Builder& role(EndpointRole role)
    {
        this->endpoint.endpointRole = std::move(role);
        return *this;
    }
    Builder& checksFencing(bool checks)
    {
        this->endpoint.fencing = checks;
        return *this;
    }
    Endpoint build() const { return this->endpoint; }

private:
    Endpoint endpoint;
};

}

#endif
