#include "StepChannel.h"

#include "EndpointCodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace filbertspoke::internal {

namespace {

bool answers(const StepReceipt& receipt, const Step& step)
{
    const Step& echo = receipt.step();
    return echo.request() == step.request() && echo.generation() == step.generation() && echo.sequence() == step.sequence();
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
    this->flushSoon();
}

void StepChannel::drop(const RequestId& request)
{
    std::erase_if(this->waiting, [&](const Step& step) { return step.request() == request; });
}

bool StepChannel::idle() const
{
    const bool inFlight = std::any_of(this->lanes.begin(), this->lanes.end(), [](const auto& lane) { return !lane->frame.empty(); });
    return this->waiting.empty() && !inFlight;
}

void StepChannel::closeIdleConnections()
{
    std::erase_if(this->lanes, [](const auto& lane) { return lane->frame.empty(); });
}

// Waits for the end of the current turn of the event loop, so that all its steps share a frame.
void StepChannel::flushSoon()
{
    if (std::exchange(this->flushing, true))
        return;
    boost::asio::post(this->context, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self == nullptr)
            return;
        self->flushing = false;
        self->flush();
    });
}

void StepChannel::flush()
{
    while (!this->waiting.empty()) {
        Lane* lane = this->freeLane();
        if (lane == nullptr)
            return;
        this->sendFrame(*lane);
    }
}

StepChannel::Lane* StepChannel::freeLane()
{
    const auto free = std::find_if(this->lanes.begin(), this->lanes.end(), [](const auto& lane) { return lane->frame.empty(); });
    if (free != this->lanes.end())
        return free->get();
    if (this->lanes.size() >= this->settings.stepConnections)
        return nullptr;
    this->lanes.push_back(std::unique_ptr<Lane>(new Lane { { this->context, this->address, this->settings.limits }, {} }));
    return this->lanes.back().get();
}

void StepChannel::sendFrame(Lane& lane)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(this->waiting.size(), this->settings.stepsPerFrame));
    const auto end = this->waiting.begin() + count;
    lane.frame.assign(std::make_move_iterator(this->waiting.begin()), std::make_move_iterator(end));
    this->waiting.erase(this->waiting.begin(), end);
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/steps";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = encodeSteps(lane.frame);
    lane.connection.exchange(std::move(request), this->settings.stepTimeout, [weak = this->weak_from_this(), &lane](const HttpOutcome& outcome) {
        // The lane lives as long as the channel while its frame is in flight.
        if (const auto self = weak.lock())
            self->accept(std::exchange(lane.frame, {}), outcome);
    });
}

void StepChannel::accept(std::vector<Step> frame, const HttpOutcome& outcome)
{
    if (!this->waiting.empty())
        this->flushSoon();
    if (const auto* failure = std::get_if<HttpFailure>(&outcome))
        return this->fail(frame, failure->sent);
    const auto& response = std::get<HttpResponse>(outcome);
    if (response.status != statusOk)
        return this->fail(frame, true);
    this->pass(std::move(frame), response.body);
}

void StepChannel::pass(std::vector<Step> frame, const std::string& body)
{
    const Result<std::vector<StepReceipt>> receipts = decodeReceipts(body);
    if (!receipts)
        return this->fail(frame, true);
    for (const StepReceipt& receipt : *receipts) {
        std::erase_if(frame, [&](const Step& step) { return answers(receipt, step); });
        this->sink(StepAnswered { this->endpoint, receipt });
    }
    this->fail(frame, true);
}

void StepChannel::fail(const std::vector<Step>& frame, bool sent)
{
    for (const Step& step : frame)
        this->sink(StepFailed { this->endpoint, step.request(), step.generation(), step.sequence(), sent });
}

}
