#include "EndpointPool.h"

#include "internal/CallChannel.h"
#include "internal/ControlChannel.h"
#include "internal/StepChannel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace filbertspoke {

namespace internal {

/** \brief The channels to one endpoint. */
struct EndpointChannels {
    HttpAddress address;
    std::shared_ptr<StepChannel> steps;
    std::shared_ptr<CallChannel> calls;
    std::shared_ptr<ControlChannel> control;

    bool idle() const { return this->steps->idle() && this->calls->idle(); }
};

}

class EndpointPool::State : public std::enable_shared_from_this<State> {
public:
    State(boost::asio::io_context& context, EndpointSettings settings, Sink sink)
        : context(context)
        , settings(std::move(settings))
        , sink(std::move(sink))
    {
    }

    void watch(const Endpoint&);
    void forget(const EndpointId&);
    void send(const SendStep&);
    void send(const SendCall&);
    void cancel(const CancelSteps&);
    void cancel(const CancelCall&);

private:
    using Endpoints = std::map<EndpointId, internal::EndpointChannels>;

    internal::EndpointChannels* find(const EndpointId&);
    void emitLater(Event);

    boost::asio::io_context& context;
    EndpointSettings settings;
    Sink sink;
    Endpoints endpoints;
    std::vector<internal::EndpointChannels> forgotten; ///< kept until their last answer has come
};

void EndpointPool::State::watch(const Endpoint& endpoint)
{
    const HttpAddress address { endpoint.address(), endpoint.port() };
    if (const auto* known = this->find(endpoint.id())) {
        if (known->address == address)
            return;
        this->forget(endpoint.id());
    }
    internal::EndpointChannels& watched = this->endpoints[endpoint.id()];
    watched.address = address;
    watched.steps = std::make_shared<internal::StepChannel>(this->context, this->settings, endpoint.id(), address, this->sink);
    watched.calls = std::make_shared<internal::CallChannel>(this->context, this->settings, endpoint.id(), address, this->sink);
    watched.control = std::make_shared<internal::ControlChannel>(this->context, this->settings, endpoint.id(), address, this->sink);
    watched.control->poll();
}

void EndpointPool::State::forget(const EndpointId& endpoint)
{
    std::erase_if(this->forgotten, [](const internal::EndpointChannels& channels) { return channels.idle(); });
    const auto watched = this->endpoints.find(endpoint);
    if (watched == this->endpoints.end())
        return;
    internal::EndpointChannels channels = std::move(watched->second);
    this->endpoints.erase(watched);
    channels.control.reset();
    channels.steps->closeIdleConnections();
    channels.calls->closeIdleConnections();
    if (!channels.idle())
        this->forgotten.push_back(std::move(channels));
}

void EndpointPool::State::send(const SendStep& action)
{
    if (auto* watched = this->find(action.endpoint))
        return watched->steps->send(action.step);
    this->emitLater(StepFailed { action.endpoint, action.step.request(), action.step.generation(), action.step.sequence(), false });
}

void EndpointPool::State::send(const SendCall& action)
{
    if (auto* watched = this->find(action.endpoint))
        return watched->calls->send(action);
    this->emitLater(CallFailed { action.endpoint, action.request, action.attempt, false });
}

void EndpointPool::State::cancel(const CancelSteps& action)
{
    auto* watched = this->find(action.endpoint);
    if (watched == nullptr)
        return;
    watched->steps->drop(action.request);
    watched->control->cancel(action.request);
}

void EndpointPool::State::cancel(const CancelCall& action)
{
    if (auto* watched = this->find(action.endpoint))
        watched->calls->cancel(action.request, action.attempt);
    for (const internal::EndpointChannels& channels : this->forgotten)
        channels.calls->cancel(action.request, action.attempt);
}

internal::EndpointChannels* EndpointPool::State::find(const EndpointId& endpoint)
{
    const auto watched = this->endpoints.find(endpoint);
    return watched == this->endpoints.end() ? nullptr : &watched->second;
}

void EndpointPool::State::emitLater(Event event)
{
    boost::asio::post(this->context, [weak = this->weak_from_this(), event = std::move(event)] {
        if (const auto self = weak.lock())
            self->sink(event);
    });
}

EndpointPool::EndpointPool(boost::asio::io_context& context, EndpointSettings settings, Sink sink)
    : state(std::make_shared<State>(context, std::move(settings), std::move(sink)))
{
}

EndpointPool::~EndpointPool() = default;

void EndpointPool::carryOut(const WatchEndpoint& action)
{
    this->state->watch(action.endpoint);
}

void EndpointPool::carryOut(const UnwatchEndpoint& action)
{
    this->state->forget(action.endpoint);
}

void EndpointPool::carryOut(const SendStep& action)
{
    this->state->send(action);
}

void EndpointPool::carryOut(const CancelSteps& action)
{
    this->state->cancel(action);
}

void EndpointPool::carryOut(const SendCall& action)
{
    this->state->send(action);
}

void EndpointPool::carryOut(const CancelCall& action)
{
    this->state->cancel(action);
}

}
