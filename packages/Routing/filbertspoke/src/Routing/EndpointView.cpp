#include "EndpointView.h"

#include <variant>

namespace filbertspoke {

namespace internal {

constexpr int latencySmoothing = 8; ///< one answer moves the smoothed latency by an eighth

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
    state->reportTime = now;
    state->ownWorkAtReport = state->ownWork;
}

void EndpointView::workStarted(const EndpointId& id, TimePoint)
{
    if (EndpointState* state = this->findMutable(id))
        ++state->ownWork;
}

void EndpointView::workFinished(const EndpointId& id, Duration latency, TimePoint)
{
    EndpointState* state = this->findMutable(id);
    if (!state)
        return;
    state->ownWork -= state->ownWork > 0 ? 1 : 0;
    state->failures = 0;
    const bool first = state->latency == Duration::zero();
    state->latency = first ? latency : state->latency + (latency - state->latency) / internal::latencySmoothing;
}

void EndpointView::workFailed(const EndpointId& id, TimePoint)
{
    EndpointState* state = this->findMutable(id);
    if (!state)
        return;
    state->ownWork -= state->ownWork > 0 ? 1 : 0;
    ++state->failures;
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

EndpointState* EndpointView::findMutable(const EndpointId& id)
{
    auto place = this->states.find(id);
    return place == this->states.end() ? nullptr : &place->second;
}

void EndpointView::insertIntoIndex(EndpointState& state)
{
    std::visit(Overloaded {
                   [&](const EngineRole& role) { this->enginesByModel[{ role.model, role.version }][role.layers].insert(state); },
                   [&](const ServiceRole& role) { this->replicasByService[role.service].insert(state); } },
        state.endpoint().role());
}

void EndpointView::eraseFromIndex(EndpointState& state)
{
    std::visit(Overloaded {
                   [&](const EngineRole& role) {
                       auto model = this->enginesByModel.find({ role.model, role.version });
                       auto group = model->second.find(role.layers);
                       group->second.erase(state);
                       if (group->second.empty())
                           model->second.erase(group);
                       if (model->second.empty())
                           this->enginesByModel.erase(model);
                   },
                   [&](const ServiceRole& role) {
                       auto group = this->replicasByService.find(role.service);
                       group->second.erase(state);
                       if (group->second.empty())
                           this->replicasByService.erase(group);
                   } },
        state.endpoint().role());
}

}
