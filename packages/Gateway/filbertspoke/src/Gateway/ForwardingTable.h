#ifndef FILBERTSPOKE_FORWARDING_TABLE_H
#define FILBERTSPOKE_FORWARDING_TABLE_H

#include "EngineProfile.h"
#include "Route.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspoke {

/** \brief A service that requests are forwarded to. */
struct ForwardedService {
    ServiceId name;
    std::optional<EngineProfile> engine; ///< for services whose endpoints run layers of a model

    auto operator<=>(const ForwardedService&) const = default;
};

/** \brief Size limits and timeouts of a client connection. */
struct ConnectionLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const ConnectionLimits&) const = default;
};

/** \brief One version of the forwarding configuration: routes, services, accounts and connection limits. */
class ForwardingTable {
public:
    class Builder;

    std::uint64_t version() const { return this->tableVersion; }
    const ConnectionLimits& limits() const { return this->connectionLimits; }
    const std::map<ServiceId, ForwardedService>& services() const { return this->servicesByName; }

    /** \returns the route of the host with the longest matching prefix of \a path, or nullptr */
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /** \returns the account to which the API key \a key belongs, or nullptr */
    const AccountId* findAccount(std::string_view key) const;
    /** \returns the priority of the account's requests, which goes before that of their route; nothing when the configuration names none */
    std::optional<std::uint32_t> accountPriority(const AccountId&) const;
    /** \returns the priorities of the stream routes that send requests to the service; a route without one counts with unnamedPriority */
    const std::set<std::uint32_t>& streamPriorities(const ServiceId&) const;
    /** \returns the service, or nullptr */
    const ForwardedService* findService(const ServiceId&) const;
    /** \returns whether requests need an API key */
    bool hasAccounts() const { return !this->accountsByKey.empty() || this->accountsListed; }

    bool operator==(const ForwardingTable&) const = default;

private:
    std::uint64_t tableVersion = 0;
    std::map<std::string, std::vector<Route>, std::less<>> routesByHost; ///< longest prefix first
    std::map<ServiceId, ForwardedService> servicesByName;
    std::map<std::string, AccountId, std::less<>> accountsByKey;
    std::map<AccountId, std::uint32_t> accountPriorities;
    std::map<ServiceId, std::set<std::uint32_t>> prioritiesOfStreams;
    bool accountsListed = false; ///< whether any account is configured, with or without keys
    ConnectionLimits connectionLimits;
};

/** \brief Builds a ForwardingTable. */
class ForwardingTable::Builder {
public:
    explicit Builder(std::uint64_t version) { this->table.tableVersion = version; }

    Builder& route(Route);
    Builder& service(ForwardedService);
    /** \brief Adds an account. Requests then need an API key, also when the account has none. */
    Builder& account(const AccountId&, const std::vector<std::string>& keys, std::optional<std::uint32_t> priority = {});
    Builder& limits(const ConnectionLimits&);
    ForwardingTable build();

private:
    ForwardingTable table;
};

/** \brief Chooses a service of the route at random, by weight.
 * \param draw random number in [0, 1)
 * \returns the service, or nothing when the route has none */
std::optional<ServiceId> chooseService(const Route& route, double draw);

}

#endif
