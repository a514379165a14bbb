#ifndef FILBERTSPOKE_CALLER_SERVER_LIMITS_H
#define FILBERTSPOKE_CALLER_SERVER_LIMITS_H

#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>

namespace filbertspoke {

/** \brief What one caller may cost a daemon. */
struct CallerServerLimits {
    std::uint64_t bodyBytes = 1 << 20;
    std::uint32_t headerBytes = 16 << 10;
    Duration headerTimeout = std::chrono::seconds(5); ///< for the whole header, however it trickles
    Duration bodyTimeout = std::chrono::seconds(15); ///< for the whole body
    Duration idleTimeout = std::chrono::seconds(60); ///< between two requests of one connection
    std::size_t connections = 10'000;
    std::size_t unsentBytes = 1 << 20; ///< of one answer; a caller that reads slower is cut off

    auto operator<=>(const CallerServerLimits&) const = default;
};

}

#endif
