#include "HttpTransport.h"

#include <chrono>
#include <thread>

#include <boost/asio/io_context.hpp>

namespace filbertspoke {

namespace {

constexpr std::chrono::seconds exchangeTimeout(5);
constexpr std::chrono::milliseconds retryDelay(500);

}

HttpOutcome HttpTransport::exchange(const HttpAddress& address, const HttpRequest& request)
{
    boost::asio::io_context context;
    HttpConnection connection(context, address, HttpLimits());
    HttpOutcome outcome = HttpFailure();
    connection.exchange(request, exchangeTimeout, [&](HttpOutcome result) {
        outcome = std::move(result);
        context.stop();
    });
    context.run();
    return outcome;
}

void HttpTransport::waitBeforeRetry()
{
    std::this_thread::sleep_for(retryDelay);
}

}
