#include <filbertspoke/Gateway>

#include <algorithm>
#include <utility>

namespace filbertspoke {

const Route* ForwardingTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = this->routesByHost.find(host);
    if (routes == this->routesByHost.end())
        return nullptr;
    const std::string_view pathOnly = path.substr(0, path.find('?'));
    for (const Route& route : routes->second) {
        if (pathOnly.starts_with(route.pathPrefix))
            return &route;
    }
    return nullptr;
}

const AccountId* ForwardingTable::findAccount(std::string_view key) const
{
    const auto account = this->accountsByKey.find(key);
    return account == this->accountsByKey.end() ? nullptr : &account->second;
}

std::optional<std::uint32_t> ForwardingTable::accountPriority(const AccountId& account) const
{
    const auto priority = this->accountPriorities.find(account);
    return priority == this->accountPriorities.end() ? std::nullopt : std::optional(priority->second);
}

const std::set<std::uint32_t>& ForwardingTable::streamPriorities(const ServiceId& service) const
{
    static const std::set<std::uint32_t> none;
    const auto priorities = this->prioritiesOfStreams.find(service);
    return priorities == this->prioritiesOfStreams.end() ? none : priorities->second;
}

const ForwardedService* ForwardingTable::findService(const ServiceId& name) const
{
    const auto service = this->servicesByName.find(name);
    return service == this->servicesByName.end() ? nullptr : &service->second;
}

ForwardingTable::Builder& ForwardingTable::Builder::route(Route route)
{
    for (const WeightedService& target : route.services) {
        if (route.kind == RouteKind::Stream && target.weight > 0)
            this->table.prioritiesOfStreams[target.service].insert(route.priority.value_or(unnamedPriority));
    }
    auto& routes = this->table.routesByHost[route.host];
    routes.push_back(std::move(route));
    return *this;
}

ForwardingTable::Builder& ForwardingTable::Builder::service(ForwardedService service)
{
    ServiceId name = service.name;
    this->table.servicesByName.insert_or_assign(std::move(name), std::move(service));
    return *this;
}

ForwardingTable::Builder& ForwardingTable::Builder::account(const AccountId& account, const std::vector<std::string>& keys, std::optional<std::uint32_t> priority)
{
    this->table.accountsListed = true;
    for (const std::string& key : keys)
        this->table.accountsByKey.insert_or_assign(key, account);
    if (priority)
        this->table.accountPriorities.insert_or_assign(account, *priority);
    return *this;
}

ForwardingTable::Builder& ForwardingTable::Builder::limits(const ConnectionLimits& limits)
{
    this->table.connectionLimits = limits;
    return *this;
}

ForwardingTable ForwardingTable::Builder::build()
{
    for (auto& [host, routes] : this->table.routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route& a, const Route& b) {
            return a.pathPrefix.size() > b.pathPrefix.size();
        });
    }
    return std::move(this->table);
}

std::optional<ServiceId> chooseService(const Route& route, double draw)
{
    double total = 0;
    for (const WeightedService& candidate : route.services)
        total += std::max(0.0, candidate.weight);
    double remaining = draw * total;
    for (const WeightedService& candidate : route.services) {
        remaining -= std::max(0.0, candidate.weight);
        if (remaining < 0)
            return candidate.service;
    }
    if (route.services.empty())
        return std::nullopt;
    return route.services.back().service;
}

}
