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

/** \brief A connection opened by a peer, from which frames are read until it is closed. */
class PeerInbound : public std::enable_shared_from_this<PeerInbound> {
public:
    using FrameHandler = std::function<void(std::string_view)>;
    using ClosedHandler = std::function<void(PeerInbound*)>;

    PeerInbound(boost::asio::ip::tcp::socket, const PeerLinkSettings&, PeerLinkCounters&, FrameHandler, ClosedHandler);

    void start() { this->readLength(); }
    void close();

private:
    void readLength();
    void readRestOfLength();
    void readBody();
    void startTimeout(Duration);
    void closeAndNotify();

    const PeerLinkSettings& settings;
    PeerLinkCounters& counters;
    FrameHandler handleFrame;
    ClosedHandler handleClosed;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    FrameLengthBytes lengthBytes {};
    std::string body;
    bool open = true;
};

}

#endif
