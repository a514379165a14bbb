#include "StreamAppender.h"

#include "PlatformCodec.h"

#include <utility>

namespace filbertspoke::internal {

namespace {

constexpr unsigned firstClientError = 400;
constexpr unsigned firstServerError = 500;

Event appendedEvent(std::uint64_t append, const HttpResponse& response)
{
    // The log takes nothing from an append that it answers with a client error; a server error
    // may come from something between, after the log took the records.
    if (response.status >= firstClientError && response.status < firstServerError)
        return AppendFailed { append, false };
    const Result<LogOffset> first = decodeAppended(response.body);
    if (response.status != statusOk || !first)
        return AppendFailed { append, true };
    return RecordsAppended { append, *first };
}

}

StreamAppender::StreamAppender(boost::asio::io_context& context, const PlatformSettings& settings, const PlatformClient::Sink& sink)
    : settings(settings)
    , sink(sink)
    , connection(context, settings.log, settings.limits)
    , expiry(context)
{
}

void StreamAppender::append(const AppendRecords& records)
{
    this->queue.push_back({ records, Clock::now() + this->settings.appendTimeout });
    if (!this->connection.busy())
        this->sendNext();
    if (this->queue.size() == 1)
        this->expire();
}

void StreamAppender::sendNext()
{
    if (this->queue.empty())
        return;
    const Waiting next = std::move(this->queue.front());
    this->queue.pop_front();
    HttpRequest request;
    request.method = "POST";
    request.target = "/streams/" + next.records.stream + "/records";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = encodeAppend(next.records);
    const auto left = std::chrono::duration_cast<Duration>(next.deadline - Clock::now());
    this->connection.exchange(std::move(request), std::max(left, Duration(1)), [this, append = next.records.append](const HttpOutcome& outcome) {
        this->accept(append, outcome);
    });
}

void StreamAppender::accept(std::uint64_t append, const HttpOutcome& outcome)
{
    this->sendNext();
    if (const auto* failure = std::get_if<HttpFailure>(&outcome))
        this->sink(AppendFailed { append, failure->sent });
    else
        this->sink(appendedEvent(append, std::get<HttpResponse>(outcome)));
}

void StreamAppender::expire()
{
    if (this->queue.empty())
        return;
    this->expiry.expires_at(this->queue.front().deadline);
    this->expiry.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        while (!this->queue.empty() && this->queue.front().deadline <= Clock::now()) {
            const std::uint64_t append = this->queue.front().records.append;
            this->queue.pop_front();
            this->sink(AppendFailed { append, false });
        }
        this->expire();
    });
}

}
