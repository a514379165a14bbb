#include "StreamReader.h"

#include "PlatformCodec.h"

#include <algorithm>
#include <random>
#include <utility>

namespace filbertspoke::internal {

namespace {

constexpr unsigned statusGone = 410;

// Spreads the retries of many daemons after an outage of the log.
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
    , retry(context)
    , retryDelay(settings.shortestRetryDelay)
{
}

void StreamReader::readFrom(LogOffset from)
{
    this->position = from;
    this->atOnce = true;
    if (this->waiting)
        return;
    // A read that is under way may have been answered before what the caller wants to see.
    if (this->connection.busy() && !this->polling)
        return;
    if (this->connection.busy())
        this->connection.close();
    this->read();
}

void StreamReader::read()
{
    this->polling = !std::exchange(this->atOnce, false);
    const Duration wait = this->polling ? this->settings.longPoll : Duration {};
    HttpRequest request;
    request.target = "/streams/" + this->stream + "/records?from=" + std::to_string(this->position)
        + "&limit=" + std::to_string(this->settings.recordsPerRead)
        + "&wait=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
    this->connection.exchange(std::move(request), wait + this->settings.readTimeout, [this](HttpOutcome outcome) {
        this->accept(std::move(outcome));
    });
}

void StreamReader::accept(HttpOutcome outcome)
{
    if (const auto* response = std::get_if<HttpResponse>(&outcome))
        this->accept(*response);
    else
        this->fail();
}

void StreamReader::accept(const HttpResponse& response)
{
    Result<RecordsRead> read = decodeRecords(this->stream, response.body);
    if ((response.status != statusOk && response.status != statusGone) || !read)
        return this->fail();
    this->retryDelay = this->settings.shortestRetryDelay;
    const bool moved = this->atOnce;
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

void StreamReader::fail()
{
    this->waiting = true;
    this->retry.expires_after(jittered(this->retryDelay));
    this->retry.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        this->waiting = false;
        this->read();
    });
    this->retryDelay = std::min(this->retryDelay * 2, this->settings.longestRetryDelay);
    this->sink(ReadFailed { this->stream });
}

}
