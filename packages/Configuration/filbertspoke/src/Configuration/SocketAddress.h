#ifndef FILBERTSPOKE_SOCKET_ADDRESS_H
#define FILBERTSPOKE_SOCKET_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertspoke {

/** \brief An IP number and a TCP port. */
struct SocketAddress {
    std::string address; ///< the IP number in text
    std::uint16_t port = 0; ///< 0 lets the system choose a free port where the daemon listens

    auto operator<=>(const SocketAddress&) const = default;
};

/** \returns the address in "IP:PORT", or nothing when the text is none */
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

/** \returns "IP:PORT" */
std::string formatSocketAddress(const SocketAddress&);

}

#endif
