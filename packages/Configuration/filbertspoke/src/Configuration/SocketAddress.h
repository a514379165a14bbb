#ifndef FILBERTSPOKE_SOCKET_ADDRESS_H
#define FILBERTSPOKE_SOCKET_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertspoke {

/** \brief An IP address and a TCP port. */
struct SocketAddress {
    std::string address; ///< IP address in text form
    std::uint16_t port = 0; ///< 0 makes the system choose a free port for a listening socket

    auto operator<=>(const SocketAddress&) const = default;
};

/** \brief Parses "IP:PORT". \returns the address, or none without a colon after a non-empty address or without a valid port; the IP part is not checked */
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

/** \returns the address as "IP:PORT" */
std::string formatSocketAddress(const SocketAddress&);

}

#endif
