#include "LogStandIn.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <exception>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::uint64_t defaultReadLimit = 1000;
constexpr std::string_view streamsPrefix = "/streams/";
constexpr std::string_view recordsSuffix = "/records";

std::uint64_t numberOr(const std::map<std::string, std::string>& query, const std::string& name, std::uint64_t fallback)
{
    const auto entry = query.find(name);
    if (entry == query.end())
        return fallback;
    std::uint64_t number = fallback;
    std::from_chars(entry->second.data(), entry->second.data() + entry->second.size(), number);
    return number;
}

HttpResponse errorResponse(unsigned status, std::string_view code)
{
    return jsonResponse({ { "error", code } }, status);
}

}

LogStandIn::LogStandIn(asio::io_context& context, const HttpAddress& address, std::size_t retention)
    : context(context)
    , retention(retention)
    , outageEnd(context)
    , server(context, address, [this](HttpRequest request) { return this->answer(std::move(request)); })
{
}

LogStandIn::Answer LogStandIn::answer(HttpRequest request)
{
    const std::string path = targetPath(request);
    std::optional<HttpResponse> failure;
    try {
        if (path == "/control")
            co_return this->control(json::parse(request.body).as_object());
        if (this->faults.delay.count() > 0) {
            asio::steady_timer delay(this->context, this->faults.delay);
            co_await delay.async_wait(asTuple);
        }
        if (this->faults.down)
            co_return std::nullopt;
        if (path == "/hosts" && request.method == "GET")
            co_return jsonResponse(this->hosts);
        if (path == "/hosts" && request.method == "PUT") {
            this->hosts = json::parse(request.body).as_array();
            co_return jsonResponse(json::object());
        }
        if (path.starts_with(streamsPrefix) && path.ends_with(recordsSuffix)) {
            if (this->faults.streamsDown)
                co_return std::nullopt;
            const std::string stream = path.substr(streamsPrefix.size(), path.size() - streamsPrefix.size() - recordsSuffix.size());
            if (request.method == "POST")
                co_return co_await this->append(stream, std::move(request.body));
            co_return co_await this->read(stream, targetQuery(request));
        }
        failure = errorResponse(404, "unknown-path");
    } catch (const std::exception& exception) {
        failure = errorResponse(400, exception.what());
    }
    co_return failure;
}

LogStandIn::Answer LogStandIn::append(std::string name, std::string body)
{
    if (this->faults.rejectAppends)
        co_return errorResponse(429, "too-many-appends");
    const json::value message = json::parse(body);
    Stream& stream = this->streams[name];
    const LogOffset first = stream.next();
    for (const json::value& payload : message.at("payloads").as_array())
        stream.records.emplace_back(payload.as_string());
    if (this->retention > 0 && stream.records.size() > this->retention)
        this->truncate(name, stream.next() - this->retention);
    this->wakeReaders();
    if (this->faults.lostAppendAnswers > 0) {
        --this->faults.lostAppendAnswers;
        co_return std::nullopt;
    }
    co_return jsonResponse({ { "first", first } });
}

LogStandIn::Answer LogStandIn::read(std::string name, std::map<std::string, std::string> query)
{
    const LogOffset from = numberOr(query, "from", 0);
    const std::uint64_t limit = numberOr(query, "limit", defaultReadLimit);
    asio::steady_timer wait(this->context, std::chrono::milliseconds(numberOr(query, "wait", 0)));
    while (this->streams[name].next() <= from && wait.expiry() > std::chrono::steady_clock::now() && !this->faults.down && !this->faults.streamsDown) {
        this->waitingReaders.insert(&wait);
        co_await wait.async_wait(asTuple);
        this->waitingReaders.erase(&wait);
    }
    if (this->faults.down || this->faults.streamsDown)
        co_return std::nullopt;
    const Stream& stream = this->streams[name];
    const LogOffset oldest = stream.truncated ? stream.first : 0;
    json::array records;
    const LogOffset start = std::max(from, stream.first);
    for (LogOffset offset = start; from >= oldest && offset < stream.next() && records.size() < limit; ++offset)
        records.push_back({ { "offset", offset }, { "payload", stream.records[offset - stream.first] } });
    co_return jsonResponse({ { "oldest", oldest }, { "next", stream.next() }, { "records", std::move(records) } },
        from < oldest ? 410 : 200);
}

HttpResponse LogStandIn::control(const json::object& order)
{
    if (const auto* value = order.if_contains("down"))
        this->faults.down = value->as_bool();
    if (const auto* value = order.if_contains("streamsDown"))
        this->faults.streamsDown = value->as_bool();
    if (const auto* value = order.if_contains("outageMs")) {
        this->faults.down = true;
        this->outageEnd.expires_after(std::chrono::milliseconds(value->to_number<std::int64_t>()));
        this->outageEnd.async_wait([this](boost::system::error_code error) {
            if (!error)
                this->faults.down = false;
        });
    }
    if (const auto* value = order.if_contains("slowMs"))
        this->faults.delay = std::chrono::milliseconds(value->to_number<std::int64_t>());
    if (const auto* value = order.if_contains("loseNextAppendAnswers"))
        this->faults.lostAppendAnswers = value->to_number<std::uint32_t>();
    if (const auto* value = order.if_contains("rejectAppends"))
        this->faults.rejectAppends = value->as_bool();
    if (const auto* value = order.if_contains("truncateBefore"))
        this->truncate(std::string(value->at("stream").as_string()), value->at("offset").to_number<LogOffset>());
    this->wakeReaders();
    return jsonResponse(json::object());
}

void LogStandIn::truncate(const std::string& name, LogOffset before)
{
    Stream& stream = this->streams[name];
    while (stream.first < before && !stream.records.empty()) {
        stream.records.pop_front();
        ++stream.first;
        stream.truncated = true;
    }
}

void LogStandIn::wakeReaders()
{
    for (asio::steady_timer* reader : this->waitingReaders)
        reader->cancel();
}

}
