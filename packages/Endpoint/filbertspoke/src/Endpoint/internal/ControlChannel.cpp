#include "ControlChannel.h"

#include "EndpointCodec.h"

#include <utility>

namespace filbertspoke::internal {

namespace {

constexpr std::size_t maximumWaitingCancels = 1024;

}

ControlChannel::ControlChannel(boost::asio::io_context& context, const EndpointSettings& settings, EndpointId endpoint, HttpAddress address, const EndpointPool::Sink& sink)
    : settings(settings)
    , endpoint(std::move(endpoint))
    , sink(sink)
    , statusConnection(context, address, settings.limits)
    , cancelConnection(context, address, settings.limits)
    , nextPoll(context)
{
}

void ControlChannel::poll()
{
    HttpRequest request;
    request.target = "/v1/status";
    this->statusConnection.exchange(std::move(request), this->settings.statusTimeout, [this](const HttpOutcome& outcome) {
        this->accept(outcome);
    });
}

void ControlChannel::accept(const HttpOutcome& outcome)
{
    this->nextPoll.expires_after(this->settings.statusPeriod);
    this->nextPoll.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self != nullptr)
            self->poll();
    });
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (response == nullptr || response->status != statusOk)
        return this->sink(EndpointPollFailed { this->endpoint });
    Result<EndpointReported> reported = decodeStatus(this->endpoint, response->body);
    if (reported)
        this->sink(std::move(*reported));
    else
        this->sink(EndpointPollFailed { this->endpoint });
}

void ControlChannel::cancel(const RequestId& request)
{
    if (this->cancels.size() >= maximumWaitingCancels)
        this->cancels.pop_front();
    this->cancels.push_back(request);
    this->sendNextCancel();
}

void ControlChannel::sendNextCancel()
{
    if (this->cancels.empty() || this->cancelConnection.busy())
        return;
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/cancel";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = encodeCancel(this->cancels.front());
    this->cancels.pop_front();
    this->cancelConnection.exchange(std::move(request), this->settings.statusTimeout, [this](const HttpOutcome&) {
        this->sendNextCancel();
    });
}

}
