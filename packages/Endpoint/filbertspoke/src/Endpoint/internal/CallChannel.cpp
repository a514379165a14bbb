#include "CallChannel.h"

#include "EndpointCodec.h"

#include <boost/asio/io_context.hpp>

namespace filbertspoke::internal {

CallChannel::CallChannel(boost::asio::io_context& context, const EndpointSettings& settings, EndpointId endpoint, HttpAddress address, const EndpointPool::Sink& sink)
    : context(context)
    , settings(settings)
    , endpoint(std::move(endpoint))
    , address(std::move(address))
    , sink(sink)
{
}

void CallChannel::send(const SendCall& call)
{
    Connection connection;
    if (this->idleConnections.empty()) {
        connection = std::make_unique<HttpConnection>(this->context, this->address, this->settings.limits);
    } else {
        connection = std::move(this->idleConnections.back());
        this->idleConnections.pop_back();
    }
    const CallKey key(call.request, call.attempt);
    connection->exchange(encodeCall(call), this->settings.callTimeout, [weak = this->weak_from_this(), key](HttpOutcome outcome) {
        if (const auto self = weak.lock())
            self->handleOutcome(key, std::move(outcome));
    });
    this->calls[key] = std::move(connection);
}

void CallChannel::cancel(const RequestId& request, std::uint32_t attempt)
{
    this->calls.erase({ request, attempt });
}

void CallChannel::handleOutcome(const CallKey& key, HttpOutcome outcome)
{
    const auto call = this->calls.find(key);
    if (this->idleConnections.size() < this->settings.idleCallConnections)
        this->idleConnections.push_back(std::move(call->second));
    this->calls.erase(call);
    if (const auto* failure = std::get_if<HttpFailure>(&outcome))
        this->sink(CallFailed { this->endpoint, key.first, key.second, failure->sent });
    else
        this->sink(decodeCallResponse(this->endpoint, key.first, key.second, std::move(std::get<HttpResponse>(outcome))));
}

}
