#include "SocketAddress.h"

#include <filbertspoke/Core>

namespace filbertspoke {

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    if (!port)
        return std::nullopt;
    return SocketAddress { std::string(text.substr(0, colon)), *port };
}

std::string formatSocketAddress(const SocketAddress& address)
{
    return address.address + ':' + std::to_string(address.port);
}

}
