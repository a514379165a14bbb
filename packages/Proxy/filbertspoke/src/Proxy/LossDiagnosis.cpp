#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

using internal::sleepFor;

// A report is there within a few milliseconds, also from a busy engine.
constexpr Duration reportTimeout = std::chrono::milliseconds(250);
// An answer serves all streams that ask within this time.
constexpr Duration findingLifetime = std::chrono::milliseconds(200);
constexpr Duration sharedAnswerPause = std::chrono::milliseconds(20);

}

LossDiagnosis::LossDiagnosis(asio::io_context& context, std::shared_ptr<const EngineCodec> wire)
    : context(context)
    , wire(std::move(wire))
{
}

asio::awaitable<void> LossDiagnosis::ask(ForwardStage first)
{
    HttpConnection connection(this->context, httpAddress(first.address), endpointLimits(reportTimeout));
    HttpRequest request = this->wire->encodeReportRequest(first.endpoint);
    const HttpOutcome outcome = co_await exchange(connection, std::move(request), reportTimeout);
    std::string reason;
    const HttpResponse* response = successfulResponse(outcome, reason);
    const auto report = response ? this->wire->decodeReport(*response) : Result<EngineReport>(make_error_code(ErrorCode::EndpointUnreachable));
    Finding& finding = this->findings[first.endpoint];
    finding.asking = false;
    finding.askedAt = bootNow();
    finding.silences = report ? 0 : finding.silences + 1;
    finding.stalled = report ? report->stalled : std::vector<StalledRequest> {};
}

asio::awaitable<std::optional<EndpointId>> LossDiagnosis::findLost(ForwardMetadata order, RequestId request)
{
    const ForwardStage first = order.stages.front();
    if (!this->findings[first.endpoint].asking && bootNow() - this->findings[first.endpoint].askedAt > findingLifetime) {
        this->findings[first.endpoint].asking = true;
        co_await this->ask(first);
    }
    while (this->findings[first.endpoint].asking)
        co_await sleepFor(this->context, sharedAnswerPause);
    const Finding& finding = this->findings[first.endpoint];
    if (finding.silences >= silencesForLost)
        co_return first.endpoint;
    std::optional<EndpointId> lost;
    for (const StalledRequest& stalled : finding.stalled) {
        for (const ForwardStage& stage : order.stages) {
            if (stage.address == stalled.waitsFor && (!lost || stalled.request == request))
                lost = stage.endpoint;
        }
    }
    co_return lost;
}

}
