#ifndef FILBERTSPOKE_PEER_DATAGRAMS_H
#define FILBERTSPOKE_PEER_DATAGRAMS_H

#include "../PeerLinkSettings.h"

#include <filbertspoke/Membership>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace filbertspoke::internal {

/** \brief Maximum size of a frame sent as a datagram, in bytes; it fits the usual MTU of 1500 bytes. */
constexpr std::size_t maxDatagramBytes = 1200;

/** \brief The UDP socket of the peer link: one frame in each datagram. */
class PeerDatagrams : public std::enable_shared_from_this<PeerDatagrams> {
public:
    using FrameHandler = std::function<void(std::string_view)>;

    PeerDatagrams(boost::asio::io_context&, PeerLinkCounters&, FrameHandler);

    boost::system::error_code start(const boost::asio::ip::udp::endpoint& local);
    void send(const ListedDaemon&, const std::string& frame);
    void close();

private:
    void receive();

    PeerLinkCounters& counters;
    FrameHandler handleFrame;
    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint remote;
    std::array<char, 2 * maxDatagramBytes> buffer {};
};

}

#endif
