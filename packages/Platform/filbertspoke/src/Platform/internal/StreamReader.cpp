#include "StreamReader.h"

#include "PlatformCodec.h"

#include <algorithm>
#include <random>
#include <utility>

namespace filbertspoke::internal {

namespace {

constexpr unsigned statusGone = 410;

// Spreads the retries of many daemons over time, so that they don't all reach the log at once after an outage.
Duration jittered(Duration delay)
{
    thread_local std::minstd_rand random { std::random_device {}() };
    return delay / 2 + Duration(std::uniform_int_distribution<Duration::rep>(0, delay.count() / 2)(random));
}

}

StreamReader::StreamReader(boost::asio::io_context& context, const PlatformSettings& settings, std::string name, const PlatformClient::Sink& sink)
    : settings(settings)
    , sink(sink)
    , stream(std::move(name))
    , connection(context, settings.log, settings.limits)
    , retryTimer(context)
    , retryDelay(settings.minimumRetryDelay)
{
}

void StreamReader::readFrom(LogOffset from)
{
    this->position = from;
    this->skipLongPoll = true;
    if (this->retryPending)
        return;
    // Another read is needed after the one in flight, whose response may predate the records that the caller expects; see handleResponse().
    if (this->connection.busy() && !this->longPolling)
        return;
    if (this->connection.busy())
        this->connection.close();
    this->read();
}

void StreamReader::read()
{
    this->longPolling = !std::exchange(this->skipLongPoll, false);
    const Duration wait = this->longPolling ? this->settings.longPoll : Duration {};
    HttpRequest request;
    request.target = "/streams/" + this->stream + "/records?from=" + std::to_string(this->position)
        + "&limit=" + std::to_string(this->settings.recordsPerRead)
        + "&wait=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
    this->connection.exchange(std::move(request), wait + this->settings.readTimeout, [this](HttpOutcome outcome) {
        this->handleOutcome(std::move(outcome));
    });
}

void StreamReader::handleOutcome(HttpOutcome outcome)
{
    if (const auto* response = std::get_if<HttpResponse>(&outcome))
        this->handleResponse(*response);
    else
        this->scheduleRetry();
}

void StreamReader::handleResponse(const HttpResponse& response)
{
    Result<RecordsRead> read = decodeRecords(this->stream, response.body);
    if ((response.status != statusOk && response.status != statusGone) || !read)
        return this->scheduleRetry();
    this->retryDelay = this->settings.minimumRetryDelay;
    const bool moved = this->skipLongPoll;
    if (response.status == statusGone)
        read->records.clear();
    if (!moved && response.status == statusGone)
        this->position = read->oldest;
    if (!moved && !read->records.empty())
        this->position = read->records.back().offset + 1;
    this->sink(std::move(*read));
    if (!this->connection.busy())
        this->read();
}

void StreamReader::scheduleRetry()
{
    this->retryPending = true;
    this->retryTimer.expires_after(jittered(this->retryDelay));
    this->retryTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        this->retryPending = false;
        this->read();
    });
    this->retryDelay = std::min(this->retryDelay * 2, this->settings.maximumRetryDelay);
    this->sink(ReadFailed { this->stream });
}

}
