#ifndef FILBERTSPOKE_CALLER_SERVER_LIMITS_H
#define FILBERTSPOKE_CALLER_SERVER_LIMITS_H

#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>

namespace filbertspoke {

/** \brief Limits of the callers' connections and requests. */
struct CallerServerLimits {
    std::uint64_t bodyBytes = 1 << 20;
    std::uint32_t headerBytes = 16 << 10;
    Duration headerTimeout = std::chrono::seconds(5); ///< for the whole header, also when it keeps arriving slowly
    Duration bodyTimeout = std::chrono::seconds(15); ///< for the whole body
    Duration idleTimeout = std::chrono::seconds(60); ///< between two requests on one connection
    std::size_t connections = 10'000; ///< open at the same time; further ones are closed at once
    std::size_t unsentBytes = 1 << 20; ///< of a streamed response; a caller that reads too slowly to stay below it is disconnected

    auto operator<=>(const CallerServerLimits&) const = default;
};

}

#endif
