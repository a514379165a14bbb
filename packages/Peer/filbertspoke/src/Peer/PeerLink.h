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
 * Everything runs on the io_context's one thread. A frame that doesn't parse is counted and
 * dropped. \sa docs/design/peer-link.md
 */
class PeerLink {
public:
    /** \brief Takes PeerMessageReceived and PeerSendFailed; never called from within send(). */
    using Sink = std::function<void(Event)>;

    PeerLink(boost::asio::io_context&, PeerLinkSettings, Sink);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /** \brief Binds the port and starts to receive.
     * \returns the system's error when the address can't be bound */
    std::error_code start();

    /** \brief Carries out a SendToPeer; a failure comes back as PeerSendFailed. */
    void send(const SendToPeer&);

    /** \brief Closes every connection; nothing reaches the sink any more. */
    void stop();

    /** \returns the bound port once start() has succeeded */
    std::uint16_t port() const;

    const PeerLinkCounters& counters() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

}

#endif
