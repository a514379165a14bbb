#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <utility>
#include <variant>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

using internal::sleepFor;

// Even a busy engine returns its report within a few milliseconds.
constexpr Duration reportTimeout = std::chrono::milliseconds(250);
// A report is shared by all streams that need it within this time.
constexpr Duration reportLifetime = std::chrono::milliseconds(200);
constexpr Duration sharedReportPollInterval = std::chrono::milliseconds(20);

}

EngineFailureDetector::EngineFailureDetector(asio::io_context& context, std::shared_ptr<const EngineCodec> codec, RequestListener onRequest, ConnectionListener onConnection)
    : context(context)
    , codec(std::move(codec))
    , onRequest(std::move(onRequest))
    , onConnection(std::move(onConnection))
{
}

asio::awaitable<void> EngineFailureDetector::requestReport(ForwardStage first)
{
    this->reportStates[first.endpoint].inFlight = true;
    const TimePoint requestedAt = bootNow();
    this->reportStates[first.endpoint].requestedAt = requestedAt;
    this->onRequest(first.endpoint);
    HttpConnection connection(this->context, httpAddress(first.address), endpointLimits(reportTimeout));
    HttpRequest request = this->codec->encodeReportRequest(first.endpoint);
    const HttpOutcome outcome = co_await exchange(connection, std::move(request), reportTimeout);
    std::string reason;
    const HttpResponse* response = successfulResponse(outcome, reason);
    const auto report = response ? this->codec->decodeReport(*response) : Result<EngineReport>(make_error_code(ErrorCode::EndpointUnreachable));
    ReportState& state = this->reportStates[first.endpoint];
    state.inFlight = false;
    state.receivedAt = bootNow();
    const bool heldUp = !report && wasHeldUp(requestedAt, reportTimeout);
    state.missedReports = report ? 0 : state.missedReports + (heldUp ? 0 : 1);
    state.stalled = report ? report->stalled : std::vector<StalledRequest> {};
    if (heldUp)
        co_return;
    // An engine that is silent for a moment still accepts connections; its silence tells nothing of the path to it.
    const auto* failure = std::get_if<HttpFailure>(&outcome);
    this->onConnection(first.endpoint, !failure || failure->sent);
}

asio::awaitable<std::optional<EndpointId>> EngineFailureDetector::findFailedEngine(ForwardMetadata metadata, RequestId request)
{
    const ForwardStage first = metadata.stages.front();
    if (!this->reportStates[first.endpoint].inFlight && bootNow() - this->reportStates[first.endpoint].receivedAt > reportLifetime)
        co_await this->requestReport(first);
    while (this->reportStates[first.endpoint].inFlight)
        co_await sleepFor(this->context, sharedReportPollInterval);
    const ReportState& state = this->reportStates[first.endpoint];
    if (state.missedReports >= missedReportsForFailure)
        co_return first.endpoint;
    std::optional<EndpointId> failed;
    for (const StalledRequest& stalled : state.stalled) {
        for (const ForwardStage& stage : metadata.stages) {
            if (stage.address == stalled.waitsFor && (!failed || stalled.request == request))
                failed = stage.endpoint;
        }
    }
    co_return failed;
}

asio::awaitable<bool> EngineFailureDetector::hasCrashed(ForwardStage engine, TimePoint brokenAt)
{
    while (this->reportStates[engine.endpoint].inFlight || this->reportStates[engine.endpoint].requestedAt < brokenAt) {
        if (this->reportStates[engine.endpoint].inFlight)
            co_await sleepFor(this->context, sharedReportPollInterval);
        else
            co_await this->requestReport(engine);
    }
    co_return this->reportStates[engine.endpoint].missedReports > 0;
}

}
