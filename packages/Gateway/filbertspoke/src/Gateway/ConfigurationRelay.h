#ifndef FILBERTSPOKE_CONFIGURATION_RELAY_H
#define FILBERTSPOKE_CONFIGURATION_RELAY_H

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace filbertspoke {

/** \brief Decides when a gateway sends its configuration document to a peer.
 *
 * Load pattern: a configuration of a thousand routes that changes every second, on a site with more than a hundred gateways. A
 * gateway that sent the document to each peer with an older version would send it many times over, because all peers learn of the
 * change at the same time and each from several sides. The document therefore goes to peers that ask for it, and to others only when
 * they stay behind although they read the store themselves.
 */
class ConfigurationRelay {
public:
    /** \brief Records a peer's message.
     * \param wanted whether the peer asks for the configuration */
    void notePeer(const SocketAddress&, std::uint64_t version, bool wanted, TimePoint now);

    /** \brief Decides on a message to the peer, which contains the document if the result is true.
     * \param version of the document of this gateway
     * \returns whether the message must contain the document */
    bool mustSend(const SocketAddress&, std::uint64_t version, TimePoint now);

private:
    struct Peer {
        std::uint64_t version = 0;
        bool wanted = false;
        std::uint64_t sentVersion = 0;
        TimePoint sentAt {};
        std::optional<TimePoint> behindSince; ///< when this gateway first had a newer version than the peer
    };

    std::map<SocketAddress, Peer> peers;
};

}

#endif
