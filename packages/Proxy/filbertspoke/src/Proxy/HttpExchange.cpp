#include <filbertspoke/Proxy>

#include <boost/asio/async_result.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <utility>

namespace filbertspoke {

namespace asio = boost::asio;

asio::awaitable<HttpOutcome> exchange(HttpConnection& connection, HttpRequest request, Duration timeout)
{
    const auto start = [&](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        connection.exchange(std::move(request), timeout, [shared](HttpOutcome outcome) { (*shared)(std::move(outcome)); });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(HttpOutcome)>(start, asio::use_awaitable);
}

HttpLimits endpointLimits(Duration timeout)
{
    // The report of an engine with a few hundred stalled requests takes less than 64 KB.
    constexpr std::size_t maximumResponseBytes = 256 * 1024;
    HttpLimits limits;
    limits.connectTimeout = timeout;
    limits.idleTimeout = timeout;
    limits.responseBytes = maximumResponseBytes;
    limits.socketTimeouts = socketTimeoutsFor(ConnectionKind::EngineReport);
    return limits;
}

HttpAddress httpAddress(const SocketAddress& address)
{
    return { address.address, address.port };
}

HttpResponse emptyResponse(unsigned status)
{
    HttpResponse response;
    response.status = status;
    return response;
}

const HttpResponse* successfulResponse(const HttpOutcome& outcome, std::string& reason)
{
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (!response) {
        reason = std::get<HttpFailure>(outcome).error.message();
        return nullptr;
    }
    if (response->status == 200)
        return response;
    reason = "status " + std::to_string(response->status);
    return nullptr;
}

}
