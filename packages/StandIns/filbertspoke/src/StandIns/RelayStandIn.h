#ifndef FILBERTSPOKE_RELAY_STAND_IN_H
#define FILBERTSPOKE_RELAY_STAND_IN_H

#include <filbertspoke/Http>

#include <filbertspoke/Core>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <memory>
#include <set>

namespace filbertspoke {

/** \brief Plays a link: forwards TCP connections, and delays, cuts or black-holes them on order. */
class RelayStandIn {
public:
    /** \param address where the relay listens
     * \param target where it connects to
     * \param control where it takes orders
     */
    RelayStandIn(boost::asio::io_context&, const HttpAddress& address, const HttpAddress& target, const HttpAddress& control);

    HttpAddress address() const;
    HttpAddress controlAddress() const { return this->controlServer.address(); }

private:
    using Socket = boost::asio::ip::tcp::socket;
    using SharedSocket = std::shared_ptr<Socket>;

    enum class Mode {
        Forward,
        Cut, ///< connections are closed, and new ones as soon as they come
        BlackHole, ///< connections stay open and nothing passes
    };

    boost::asio::awaitable<void> listen();
    boost::asio::awaitable<void> connect(SharedSocket client);
    boost::asio::awaitable<void> forward(SharedSocket from, SharedSocket to);
    boost::asio::awaitable<void> pauseFor(std::chrono::milliseconds);
    void control(const boost::json::object&);

    boost::asio::io_context& context;
    boost::asio::ip::tcp::endpoint target;
    boost::asio::ip::tcp::acceptor acceptor;
    Mode mode = Mode::Forward;
    std::chrono::milliseconds delay {};
    std::set<SharedSocket> sockets;
    HttpServer controlServer;
};

}

#endif
