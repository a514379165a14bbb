#include "EndpointView.h"

#include <variant>

namespace filbertspoke {

namespace internal {

constexpr double prefillGain = 1.0 / 4; ///< part by which one prompt moves the smoothed time

}

EndpointView::EndpointView(FailureDomainId own)
    : ownDomain(std::move(own))
{
}

void EndpointView::put(const Endpoint& endpoint)
{
    if (EndpointState* known = this->findMutable(endpoint.id())) {
        this->eraseFromIndex(*known);
        known->description = endpoint;
        this->insertIntoIndex(*known);
        return;
    }
    auto [place, inserted] = this->states.emplace(endpoint.id(), EndpointState(endpoint));
    this->insertIntoIndex(place->second);
}

void EndpointView::remove(const EndpointId& id)
{
    auto place = this->states.find(id);
    if (place == this->states.end())
        return;
    this->eraseFromIndex(place->second);
    this->states.erase(place);
}

void EndpointView::setTakesNewWork(const EndpointId& id, bool takes)
{
    EndpointState* state = this->findMutable(id);
    if (!state)
        return;
    state->newWorkAllowed = takes;
    this->countCapacity(*state);
}

void EndpointView::report(const EndpointId& id, const LoadReport& load, TimePoint now)
{
    EndpointState* state = this->findMutable(id);
    if (!state)
        return;
    state->latestLoad = load;
    state->reportTime = now;
    state->ownWorkAtReport = state->ownWork;
    this->countCapacity(*state);
}

void EndpointView::markDraining(const EndpointId& id)
{
    EndpointState* state = this->findMutable(id);
    if (!state)
        return;
    state->latestLoad.draining = true;
    this->countCapacity(*state);
}

void EndpointView::workStarted(const EndpointId& id, TimePoint now)
{
    EndpointState* state = this->findMutable(id);
    if (!state)
        return;
    ++state->ownWork;
    state->breaker.started(now);
}

void EndpointView::workFinished(const EndpointId& id, Duration latency, TimePoint now, std::uint32_t positions)
{
    EndpointState* state = this->findMutable(id);
    if (!state)
        return;
    state->ownWork -= state->ownWork > 0 ? 1 : 0;
    state->breaker.succeeded(now);
    if (positions <= 1) {
        state->latency.add(latency);
        state->latencyTime = now;
        return;
    }
    const double sample = static_cast<double>(latency.count()) / positions;
    state->prefillTime += (sample - state->prefillTime) * (state->prefillTime == 0 ? 1.0 : internal::prefillGain);
}

void EndpointView::workFailed(const EndpointId& id, TimePoint now)
{
    EndpointState* state = this->findMutable(id);
    if (!state)
        return;
    state->ownWork -= state->ownWork > 0 ? 1 : 0;
    state->breaker.failed(now);
}

void EndpointView::workCancelled(const EndpointId& id, TimePoint now)
{
    EndpointState* state = this->findMutable(id);
    if (!state)
        return;
    state->ownWork -= state->ownWork > 0 ? 1 : 0;
    state->breaker.cancelled(now);
}

void EndpointView::chainOpened(const Chain& chain)
{
    for (const ChainStage& stage : chain) {
        EndpointState* state = this->findMutable(stage.endpoint);
        if (!state)
            continue;
        ++state->openChains;
        ++state->placedChains;
    }
}

void EndpointView::chainClosed(const Chain& chain)
{
    for (const ChainStage& stage : chain) {
        EndpointState* state = this->findMutable(stage.endpoint);
        if (state && state->openChains > 0)
            --state->openChains;
    }
}

const EndpointState* EndpointView::find(const EndpointId& id) const
{
    auto place = this->states.find(id);
    return place == this->states.end() ? nullptr : &place->second;
}

const EndpointView::EngineGroups* EndpointView::engines(const ModelId& model, const std::string& version) const
{
    auto place = this->enginesByModel.find({ model, version });
    return place == this->enginesByModel.end() ? nullptr : &place->second;
}

const internal::EndpointGroup* EndpointView::replicas(const ServiceId& service) const
{
    auto place = this->replicasByService.find(service);
    return place == this->replicasByService.end() ? nullptr : &place->second;
}

bool EndpointView::isLocal(const EndpointState& state) const
{
    return state.endpoint().failureDomain() == this->ownDomain;
}

EndpointState* EndpointView::findMutable(const EndpointId& id)
{
    auto place = this->states.find(id);
    return place == this->states.end() ? nullptr : &place->second;
}

internal::EndpointGroup& EndpointView::group(const EndpointState& state)
{
    return std::visit(Overloaded {
                          [&](const EngineRole& role) -> internal::EndpointGroup& {
                              return this->enginesByModel[{ role.model, role.version }][role.layers];
                          },
                          [&](const ServiceRole& role) -> internal::EndpointGroup& { return this->replicasByService[role.service]; } },
        state.endpoint().role());
}

void EndpointView::countCapacity(EndpointState& state)
{
    const double capacity = state.takesNewWork() ? state.load().tokensPerSecond : 0;
    if (capacity == state.countedCapacity)
        return;
    this->group(state).addCapacity(capacity - state.countedCapacity);
    state.countedCapacity = capacity;
    ++this->capacityChanges;
}

void EndpointView::insertIntoIndex(EndpointState& state)
{
    this->group(state).insert(state, this->isLocal(state));
    this->countCapacity(state);
}

void EndpointView::eraseFromIndex(EndpointState& state)
{
    internal::EndpointGroup& group = this->group(state);
    group.erase(state, this->isLocal(state));
    group.addCapacity(-state.countedCapacity);
    state.countedCapacity = 0;
    ++this->capacityChanges;
    if (group.empty())
        this->eraseGroup(state.endpoint().role());
}

void EndpointView::eraseGroup(const EndpointRole& endpointRole)
{
    std::visit(Overloaded {
                   [&](const EngineRole& role) {
                       auto model = this->enginesByModel.find({ role.model, role.version });
                       model->second.erase(role.layers);
                       if (model->second.empty())
                           this->enginesByModel.erase(model);
                   },
                   [&](const ServiceRole& role) { this->replicasByService.erase(role.service); } },
        endpointRole);
}

}
