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
    if (EndpointState* state = this->findMutable(id))
        state->newWorkAllowed = takes;
}

void EndpointView::report(const EndpointId& id, const LoadReport& load, TimePoint now)
{
    EndpointState* state = this->findMutable(id);
    if (!state)
        return;
    state->latestLoad = load;
    if (!state->rampStart)
        state->rampStart = now;
    state->reportTime = now;
    state->ownWorkAtReport = state->ownWork;
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
    if (!state->breaker.isClosed())
        state->rampStart = now;
    state->breaker.succeeded(now);
    if (positions <= 1) {
        state->latency.add(latency);
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

void EndpointView::insertIntoIndex(EndpointState& state)
{
    std::visit(Overloaded {
                   [&](const EngineRole& role) { this->enginesByModel[{ role.model, role.version }][role.layers].insert(state, this->isLocal(state)); },
                   [&](const ServiceRole& role) { this->replicasByService[role.service].insert(state, this->isLocal(state)); } },
        state.endpoint().role());
}

void EndpointView::eraseFromIndex(EndpointState& state)
{
    std::visit(Overloaded {
                   [&](const EngineRole& role) {
                       auto model = this->enginesByModel.find({ role.model, role.version });
                       auto group = model->second.find(role.layers);
                       group->second.erase(state, this->isLocal(state));
                       if (group->second.empty())
                           model->second.erase(group);
                       if (model->second.empty())
                           this->enginesByModel.erase(model);
                   },
                   [&](const ServiceRole& role) {
                       auto group = this->replicasByService.find(role.service);
                       group->second.erase(state, this->isLocal(state));
                       if (group->second.empty())
                           this->replicasByService.erase(group);
                   } },
        state.endpoint().role());
}

}
