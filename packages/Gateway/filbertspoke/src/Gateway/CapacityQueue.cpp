#include <filbertspoke/Gateway>

#include <algorithm>
#include <limits>
#include <string>

namespace filbertspoke {

namespace {

// Plans of a round behind a head that found no chain. They let small generations use what a large one leaves free, at a bounded cost.
constexpr int maximumPlansBehindHead = 3;
// Restricted generations that find no chain in a round; without the limit they could use up the plans of all others.
constexpr int maximumRestrictedFailures = 2;

bool allAccounts(const AccountId&)
{
    return true;
}

}

CapacityQueue::Rank CapacityQueue::rankOf(const WaitingGeneration& generation)
{
    return { !generation.begun, generation.priority.value_or(unnamedPriority) };
}

CapacityQueue::Ticket CapacityQueue::enter(const WaitingGeneration& generation)
{
    const Ticket ticket = this->nextTicket++;
    AdmissionRequest admission;
    admission.request = RequestId(std::to_string(ticket));
    admission.account = generation.account;
    admission.cost = generation.tokens;
    admission.pool = generation.service;
    Service& service = this->services[generation.service];
    service.queues[rankOf(generation)].push(admission);
    service.order.reset();
    this->waiters[ticket] = { generation, admission };
    return ticket;
}

void CapacityQueue::leave(Ticket ticket)
{
    const auto waiter = this->waiters.find(ticket);
    if (waiter == this->waiters.end())
        return;
    const WaitingGeneration& generation = waiter->second.generation;
    Service& service = this->services[generation.service];
    service.queues[rankOf(generation)].erase(waiter->second.admission);
    service.order.reset();
    this->waiters.erase(waiter);
}

void CapacityQueue::start(Ticket ticket)
{
    const Waiter waiter = this->waiters.at(ticket);
    Service& service = this->services[waiter.generation.service];
    this->countPlan(service, ticket);
    this->leave(ticket);
    service.queues[rankOf(waiter.generation)].charge(waiter.admission);
}

void CapacityQueue::setPaused(Ticket ticket, bool paused)
{
    Waiter& waiter = this->waiters.at(ticket);
    if (waiter.paused == paused)
        return;
    waiter.paused = paused;
    // An engine accepts requests again that did not when the generation planned last.
    waiter.planFailed = false;
    this->services[waiter.generation.service].order.reset();
}

void CapacityQueue::countPlan(Service& service, Ticket ticket)
{
    if (this->head(this->waiters.at(ticket).generation.service) != ticket)
        ++service.plansBehindHead;
}

void CapacityQueue::notePlanFailed(Ticket ticket)
{
    Waiter& waiter = this->waiters.at(ticket);
    Service& service = this->services[waiter.generation.service];
    this->countPlan(service, ticket);
    waiter.planFailed = true;
    service.restrictedFailures += waiter.generation.restricted ? 1 : 0;
}

void CapacityQueue::beginRound(const ServiceId& id, std::uint64_t capacityRevision, TimePoint now)
{
    Service& service = this->services[id];
    const Duration age = now - service.roundBegan;
    const bool changed = service.capacityRevision != capacityRevision;
    if (age < (changed ? minimumRound : maximumRound))
        return;
    service.capacityRevision = capacityRevision;
    service.roundBegan = now;
    service.plansBehindHead = 0;
    service.restrictedFailures = 0;
    for (const Ticket ticket : this->orderOf(id, service))
        this->waiters.at(ticket).planFailed = false;
}

std::optional<CapacityQueue::Ticket> CapacityQueue::next(const ServiceId& id) const
{
    const auto service = this->services.find(id);
    if (service == this->services.end())
        return std::nullopt;
    double fewestTokens = std::numeric_limits<double>::infinity(); // of the generations before, without a chain, that may use all endpoints
    bool isHead = true;
    for (const Ticket ticket : this->orderOf(id, service->second)) {
        const Waiter& waiter = this->waiters.at(ticket);
        const bool restricted = waiter.generation.restricted;
        const bool mayFollow = service->second.plansBehindHead < maximumPlansBehindHead && waiter.generation.tokens < fewestTokens && (!restricted || service->second.restrictedFailures < maximumRestrictedFailures);
        if (!waiter.planFailed && (isHead || mayFollow))
            return ticket;
        if (waiter.planFailed && !restricted)
            fewestTokens = std::min(fewestTokens, waiter.generation.tokens);
        isHead = false;
    }
    return std::nullopt;
}

std::optional<CapacityQueue::Ticket> CapacityQueue::head(const ServiceId& id) const
{
    const auto service = this->services.find(id);
    if (service == this->services.end() || this->orderOf(id, service->second).empty())
        return std::nullopt;
    return this->orderOf(id, service->second).front();
}

std::vector<CapacityQueue::Ticket> CapacityQueue::heads() const
{
    std::vector<Ticket> tickets;
    for (const auto& [id, service] : this->services) {
        if (const auto ticket = this->head(id))
            tickets.push_back(*ticket);
    }
    return tickets;
}

TimePoint CapacityQueue::nextRoundAt(const ServiceId& id) const
{
    const auto service = this->services.find(id);
    return service == this->services.end() ? TimePoint {} : service->second.roundBegan + minimumRound;
}

const std::vector<CapacityQueue::Ticket>& CapacityQueue::orderOf(const ServiceId& id, const Service& service) const
{
    if (service.order)
        return *service.order;
    std::vector<Ticket> order;
    for (const auto& [rank, queue] : service.queues) {
        if (queue.empty())
            continue;
        // The fair queue shows its order only by starting its requests, so a copy of it starts them.
        FairQueue waiting = queue;
        for (const auto& [ticket, waiter] : this->waiters) {
            if (waiter.paused && waiter.generation.service == id && rankOf(waiter.generation) == rank)
                waiting.erase(waiter.admission);
        }
        while (const auto request = waiting.pop(allAccounts))
            order.push_back(std::stoull(request->request.str()));
    }
    service.order = std::move(order);
    return *service.order;
}

}
