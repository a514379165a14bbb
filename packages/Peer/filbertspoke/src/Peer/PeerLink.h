#ifndef FILBERTSPOKE_PEER_LINK_H
#define FILBERTSPOKE_PEER_LINK_H

#include "PeerLinkSettings.h"

#include <filbertspoke/Router>

#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>

namespace boost::asio {
class io_context;
}

namespace filbertspoke {

/** \brief The connections to other daemons: Thrift frames over TCP, short heartbeats over UDP.
 *
 * All handlers run on the single thread of the io_context. A frame that can't be decoded is counted and
 * dropped. \sa docs/design/peer-link.md
 */
class PeerLink {
public:
    /** \brief Takes PeerMessageReceived and PeerSendFailed; it is never called from within send(). */
    using Sink = std::function<void(Event)>;

    PeerLink(boost::asio::io_context&, PeerLinkSettings, Sink);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /** \brief Binds the TCP and UDP port and starts receiving.
     * \returns the system error when the address can't be bound */
    std::error_code start();

    /** \brief Sends the message of the action to its peer. A failed connection is reported as PeerSendFailed. */
    void send(const SendToPeer&);

    /** \brief Closes every connection; the sink is not called afterwards. */
    void stop();

    /** \returns the bound port, or 0 before start() has succeeded */
    std::uint16_t port() const;

    /** \returns the counters since the construction */
    const PeerLinkCounters& counters() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

}

#endif
