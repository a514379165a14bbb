#ifndef FILBERTSPOKE_PEER_INBOUND_H
#define FILBERTSPOKE_PEER_INBOUND_H

#include "../PeerLinkSettings.h"
#include "FrameLength.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace filbertspoke::internal {

/** \brief A connection that a peer opened: reads frames until it ends. */
class PeerInbound : public std::enable_shared_from_this<PeerInbound> {
public:
    using Frame = std::function<void(std::string_view)>;
    using Closed = std::function<void(PeerInbound*)>;

    PeerInbound(boost::asio::ip::tcp::socket, const PeerLinkSettings&, PeerLinkCounters&, Frame, Closed);

    void start() { this->readLength(); }
    void close();

private:
    void readLength();
    void readRestOfLength();
    void readBody();
    void limit(Duration);
    void end();

    const PeerLinkSettings& settings;
    PeerLinkCounters& counters;
    Frame frame;
    Closed closed;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    FrameLengthBytes length {};
    std::string body;
    bool open = true;
};

}

#endif
