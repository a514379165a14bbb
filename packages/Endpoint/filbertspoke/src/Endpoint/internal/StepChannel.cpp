#include "StepChannel.h"

#include "EndpointCodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace filbertspoke::internal {

namespace {

bool isReceiptOf(const StepReceipt& receipt, const Step& step)
{
    const Step& receiptStep = receipt.step();
    return receiptStep.request() == step.request() && receiptStep.generation() == step.generation() && receiptStep.sequence() == step.sequence();
}

}

StepChannel::StepChannel(boost::asio::io_context& context, const EndpointSettings& settings, EndpointId endpoint, HttpAddress address, const EndpointPool::Sink& sink)
    : context(context)
    , settings(settings)
    , endpoint(std::move(endpoint))
    , address(std::move(address))
    , sink(sink)
{
}

void StepChannel::send(const Step& step)
{
    this->waiting.push_back(step);
    this->scheduleFlush();
}

void StepChannel::dropWaiting(const RequestId& request)
{
    std::erase_if(this->waiting, [&](const Step& step) { return step.request() == request; });
}

bool StepChannel::idle() const
{
    const bool inFlight = std::any_of(this->connections.begin(), this->connections.end(), [](const auto& connection) { return !connection->frame.empty(); });
    return this->waiting.empty() && !inFlight;
}

void StepChannel::closeIdleConnections()
{
    std::erase_if(this->connections, [](const auto& connection) { return connection->frame.empty(); });
}

// Defers the flush through the event loop, so that all steps queued by the current handler share a frame.
void StepChannel::scheduleFlush()
{
    if (std::exchange(this->flushScheduled, true))
        return;
    boost::asio::post(this->context, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self == nullptr)
            return;
        self->flushScheduled = false;
        self->flush();
    });
}

void StepChannel::flush()
{
    while (!this->waiting.empty()) {
        StepConnection* connection = this->findFreeConnection();
        if (connection == nullptr)
            return;
        this->sendFrame(*connection);
    }
}

StepChannel::StepConnection* StepChannel::findFreeConnection()
{
    const auto free = std::find_if(this->connections.begin(), this->connections.end(), [](const auto& connection) { return connection->frame.empty(); });
    if (free != this->connections.end())
        return free->get();
    if (this->connections.size() >= this->settings.stepConnections)
        return nullptr;
    this->connections.push_back(std::unique_ptr<StepConnection>(new StepConnection { { this->context, this->address, this->settings.limits }, {} }));
    return this->connections.back().get();
}

void StepChannel::sendFrame(StepConnection& connection)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(this->waiting.size(), this->settings.stepsPerFrame));
    const auto end = this->waiting.begin() + count;
    connection.frame.assign(std::make_move_iterator(this->waiting.begin()), std::make_move_iterator(end));
    this->waiting.erase(this->waiting.begin(), end);
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/steps";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = encodeSteps(connection.frame);
    connection.http.exchange(std::move(request), this->settings.stepTimeout, [weak = this->weak_from_this(), &connection](const HttpOutcome& outcome) {
        // A connection with a frame in flight is not removed before its channel is destroyed.
        if (const auto self = weak.lock())
            self->handleOutcome(std::exchange(connection.frame, {}), outcome);
    });
}

void StepChannel::handleOutcome(std::vector<Step> frame, const HttpOutcome& outcome)
{
    if (!this->waiting.empty())
        this->scheduleFlush();
    if (const auto* failure = std::get_if<HttpFailure>(&outcome))
        return this->emitFailures(frame, failure->sent);
    const auto& response = std::get<HttpResponse>(outcome);
    if (response.status != statusOk)
        return this->emitFailures(frame, true);
    this->handleReceipts(std::move(frame), response.body);
}

void StepChannel::handleReceipts(std::vector<Step> frame, const std::string& body)
{
    const Result<std::vector<StepReceipt>> receipts = decodeReceipts(body);
    if (!receipts)
        return this->emitFailures(frame, true);
    for (const StepReceipt& receipt : *receipts) {
        std::erase_if(frame, [&](const Step& step) { return isReceiptOf(receipt, step); });
        this->sink(StepAnswered { this->endpoint, receipt });
    }
    this->emitFailures(frame, true);
}

void StepChannel::emitFailures(const std::vector<Step>& frame, bool sent)
{
    for (const Step& step : frame)
        this->sink(StepFailed { this->endpoint, step.request(), step.generation(), step.sequence(), sent });
}

}
