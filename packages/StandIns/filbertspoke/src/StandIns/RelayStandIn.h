#ifndef FILBERTSPOKE_RELAY_STAND_IN_H
#define FILBERTSPOKE_RELAY_STAND_IN_H

#include <filbertspoke/Http>

#include <filbertspoke/Core>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <set>

namespace filbertspoke {

/** \brief Plays a link: forwards TCP connections, and delays, resets, cuts or silences them on order. */
class RelayStandIn {
public:
    /** \param address where the relay listens
     * \param target where it connects to
     * \param control where it takes orders
     */
    RelayStandIn(boost::asio::io_context&, const HttpAddress& address, const HttpAddress& target, const HttpAddress& control);

    HttpAddress address() const;
    HttpAddress controlAddress() const { return this->controlServer.address(); }

    /** \brief Carries out an order: `delayMs`, and `mode` as "forward", "cut" (connections close, and new ones at once),
     * "black-hole" (nothing passes), "one-way" (nothing comes back from the target), "reset" (connections are reset
     * once, new ones pass), "silence" (nothing passes any more over connections that are open, new ones pass),
     * "refuse" (open connections go on, new ones are refused), "reset-refuse" (connections are reset, new ones refused)
     * or "unreachable" (nothing passes, and new connections neither succeed nor fail). */
    void control(const boost::json::object&);

private:
    using Socket = boost::asio::ip::tcp::socket;
    using SharedSocket = std::shared_ptr<Socket>;

    enum class Mode {
        Forward,
        Cut, ///< connections are closed, and new ones as soon as they come
        BlackHole, ///< connections stay open and nothing passes
        OneWay, ///< connections stay open and nothing comes back
        Refuse, ///< connections stay open, and nothing listens
        Unreachable, ///< connections stay open and nothing passes; the queue of new ones is full
    };

    boost::asio::awaitable<void> listen();
    void setMode(Mode);
    /** \brief Listens with a queue that stays full, so that the system drops the first packet of each new connection. */
    void fillQueue();
    void resetConnections();
    boost::asio::awaitable<void> connect(SharedSocket client);
    enum class Direction {
        ToTarget,
        FromTarget,
    };

    boost::asio::awaitable<void> forward(SharedSocket from, SharedSocket to, Direction);
    bool passes(const SharedSocket& from, Direction) const;
    boost::asio::awaitable<void> pauseFor(std::chrono::milliseconds);
    boost::asio::io_context& context;
    boost::asio::ip::tcp::endpoint target;
    boost::asio::ip::tcp::endpoint listening; ///< the address that the relay keeps while it does not listen
    boost::asio::ip::tcp::acceptor acceptor;
    std::deque<Socket> queued; ///< connections that fill the queue
    Mode mode = Mode::Forward;
    std::chrono::milliseconds delay {};
    std::set<SharedSocket> sockets;
    std::set<SharedSocket> silenced; ///< of them, those over which nothing passes any more
    HttpServer controlServer;
};

}

#endif
