#ifndef FILBERTSPOKE_SERVICE_STAND_IN_H
#define FILBERTSPOKE_SERVICE_STAND_IN_H

#include <filbertspoke/Http>

#include <filbertspoke/Core>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace filbertspoke {

/** \brief Plays a plain service that records every call that it runs. */
class ServiceStandIn {
public:
    ServiceStandIn(boost::asio::io_context&, const HttpAddress&);

    HttpAddress address() const { return this->server.address(); }

private:
    using Answer = boost::asio::awaitable<std::optional<HttpResponse>>;

    Answer answer(HttpRequest);
    Answer call(HttpRequest);
    HttpResponse run(const HttpRequest&);
    void control(const boost::json::object&);

    boost::asio::io_context& context;
    boost::json::array runs;
    std::uint32_t inProgress = 0;
    std::chrono::microseconds delay {};
    bool draining = false;
    std::uint32_t failuresBeforeRun = 0; ///< calls still to drop before they run
    std::uint32_t failuresAfterRun = 0; ///< calls still to run and then leave unanswered
    HttpServer server;
};

}

#endif
