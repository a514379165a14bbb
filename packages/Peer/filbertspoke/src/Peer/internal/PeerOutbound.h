#ifndef FILBERTSPOKE_PEER_OUTBOUND_H
#define FILBERTSPOKE_PEER_OUTBOUND_H

#include "../PeerLinkSettings.h"

#include <filbertspoke/Membership>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace filbertspoke::internal {

/** \brief The connection that sends frames to one peer; it is opened on demand. */
class PeerOutbound : public std::enable_shared_from_this<PeerOutbound> {
public:
    using FailureHandler = std::function<void(const DaemonId&)>;

    PeerOutbound(boost::asio::io_context&, const PeerLinkSettings&, PeerLinkCounters&, ListedDaemon, FailureHandler);

    const ListedDaemon& daemon() const { return this->peer; }
    bool idle() const { return this->state == State::Closed; }
    void send(const std::string& frame);
    void close();

private:
    enum class State {
        Closed,
        Connecting,
        Connected,
    };

    void connect();
    boost::system::error_code open(const boost::asio::ip::tcp::endpoint&);
    void write();
    void watchForClose();
    void startTimeout(Duration);
    void startIdleTimeout();
    void fail();

    const PeerLinkSettings& settings;
    PeerLinkCounters& counters;
    ListedDaemon peer;
    FailureHandler handleFailure;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    State state = State::Closed;
    std::uint64_t connectionNumber = 0; ///< lets handlers of an earlier connection be recognised and ignored
    std::string queued;
    std::string inFlight;
    std::uint64_t queuedFrames = 0;
    std::uint64_t framesInFlight = 0;
    std::array<char, 1> readBuffer {};
};

}

#endif
