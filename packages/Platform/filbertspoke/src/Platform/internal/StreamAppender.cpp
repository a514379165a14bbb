#include "StreamAppender.h"

#include "PlatformCodec.h"

#include <utility>

namespace filbertspoke::internal {

namespace {

constexpr unsigned firstClientError = 400;
constexpr unsigned firstServerError = 500;

Event toEvent(std::uint64_t append, const HttpResponse& response)
{
    // The log stores no record of an append that it answers with a client error. A server error may
    // come from an intermediary after the log has stored the records, so that the outcome is unknown.
    if (response.status >= firstClientError && response.status < firstServerError)
        return AppendFailed { append, false };
    const Result<LogOffset> first = decodeAppendResponse(response.body);
    if (response.status != statusOk || !first)
        return AppendFailed { append, true };
    return RecordsAppended { append, *first };
}

}

StreamAppender::StreamAppender(boost::asio::io_context& context, const PlatformSettings& settings, const PlatformClient::Sink& sink)
    : settings(settings)
    , sink(sink)
    , connection(context, settings.log, settings.limits)
    , expiryTimer(context)
{
}

void StreamAppender::append(const AppendRecords& records)
{
    this->queue.push_back({ records, Clock::now() + this->settings.appendTimeout });
    if (!this->connection.busy())
        this->sendNext();
    if (this->queue.size() == 1)
        this->scheduleExpiry();
}

void StreamAppender::sendNext()
{
    if (this->queue.empty())
        return;
    const QueuedAppend next = std::move(this->queue.front());
    this->queue.pop_front();
    HttpRequest request;
    request.method = "POST";
    request.target = "/streams/" + next.records.stream + "/records";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = encodeAppend(next.records);
    const auto remaining = std::chrono::duration_cast<Duration>(next.deadline - Clock::now());
    this->connection.exchange(std::move(request), std::max(remaining, Duration(1)), [this, append = next.records.append](const HttpOutcome& outcome) {
        this->handleOutcome(append, outcome);
    });
}

void StreamAppender::handleOutcome(std::uint64_t append, const HttpOutcome& outcome)
{
    this->sendNext();
    if (const auto* failure = std::get_if<HttpFailure>(&outcome))
        this->sink(AppendFailed { append, failure->sent });
    else
        this->sink(toEvent(append, std::get<HttpResponse>(outcome)));
}

void StreamAppender::scheduleExpiry()
{
    if (this->queue.empty())
        return;
    this->expiryTimer.expires_at(this->queue.front().deadline);
    this->expiryTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        while (!this->queue.empty() && this->queue.front().deadline <= Clock::now()) {
            const std::uint64_t append = this->queue.front().records.append;
            this->queue.pop_front();
            this->sink(AppendFailed { append, false });
        }
        this->scheduleExpiry();
    });
}

}
