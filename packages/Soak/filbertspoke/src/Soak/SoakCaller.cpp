#include <filbertspoke/Soak>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <utility>

namespace filbertspoke::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

// Callers wait somewhat longer than they say, so that a late answer is seen as one.
constexpr auto patience = callLimit + 2s;
constexpr auto connectLimit = 1s;
constexpr auto pauseBetweenCalls = 15ms;

CallText textOf(const CallRecord& call)
{
    CallText text;
    text.method = call.kind == CallKind::Booking || call.kind == CallKind::Generation ? "POST" : "GET";
    text.id = call.id;
    text.limit = callLimit;
    switch (call.kind) {
    case CallKind::Booking:
        text.target = "/book/x";
        break;
    case CallKind::LookUp:
        text.target = "/stock/x";
        break;
    case CallKind::Generation:
        text.target = "/chat/x";
        break;
    case CallKind::Probe:
        text.target = "/probe-" + std::to_string(call.version) + "/x";
        break;
    }
    return text;
}

}

SoakCaller::SoakCaller(asio::io_context& context, SoakSite& site, SoakRecord& record, std::string name, std::uint64_t seed)
    : context(context)
    , site(site)
    , record(record)
    , name(std::move(name))
    , random(seed)
{
}

asio::awaitable<bool> SoakCaller::connect(std::size_t gateway)
{
    const HttpAddress& address = this->site.gateways[gateway].text.callers;
    this->stream.emplace(this->context);
    this->buffer.clear();
    this->stream->expires_after(connectLimit);
    const auto [error] = co_await this->stream->async_connect(tcp::endpoint(asio::ip::make_address(address.address), address.port), asTuple);
    if (error)
        this->stream.reset();
    co_return !error;
}

asio::awaitable<CallRecord> SoakCaller::call(CallKind kind, std::size_t gateway)
{
    const SoakGateway& process = this->site.gateways[gateway];
    CallRecord call;
    call.id = this->name + "-" + std::to_string(++this->sent);
    call.kind = kind;
    call.gateway = gateway;
    call.start = process.starts;
    // The newest versions are the ones that may be missing or come back.
    call.version = std::max(1, this->site.version - std::uniform_int_distribution<int>(0, 2)(this->random));
    call.sentAt = Clock::now();
    const bool running = !process.handled;
    const std::string text = callText(textOf(call));
    this->stream->expires_after(patience);
    const auto [writeError, written] = co_await asio::async_write(*this->stream, asio::buffer(text), asTuple);
    ResponseParser parser;
    parser.body_limit(boost::none);
    if (writeError)
        parser.setRequestInterrupted();
    const auto [error, bytes] = co_await http::async_read(*this->stream, this->buffer, parser, asTuple);
    call.endedAt = Clock::now();
    call.undisturbed = running && !process.handled && process.disturbedAt < call.sentAt && process.starts == call.start;
    if (parser.is_header_done()) {
        call.status = parser.status();
        call.echoedId = std::string(findHeader(parser.headers(), requestIdHeader()));
        call.returnTime = std::string(findHeader(parser.headers(), "Retry-After"));
        call.body = parser.takeBody();
        call.whole = !error;
    }
    if (isMalformedResponse(error))
        this->record.breach("a malformed answer (" + error.message() + ") for " + call.id);
    if (writeError || error || !parser.keep_alive())
        this->stream.reset();
    this->record.note(call);
    co_return call;
}

asio::awaitable<CallRecord> SoakCaller::callOnce(CallKind kind, std::size_t gateway)
{
    if (!co_await this->connect(gateway))
        co_return CallRecord {};
    CallRecord result = co_await this->call(kind, gateway);
    this->stream.reset();
    co_return result;
}

asio::awaitable<void> SoakCaller::run(const bool& stop)
{
    std::size_t gateway = 0;
    std::discrete_distribution<int> kinds { 3, 3, 3, 1 };
    while (!stop) {
        if (!this->stream) {
            gateway = std::uniform_int_distribution<std::size_t>(0, this->site.gateways.size() - 1)(this->random);
            co_await this->connect(gateway);
        }
        if (this->stream)
            co_await this->call(static_cast<CallKind>(kinds(this->random)), gateway);
        asio::steady_timer timer(this->context, pauseBetweenCalls);
        co_await timer.async_wait(asTuple);
    }
    this->stream.reset();
}

}
