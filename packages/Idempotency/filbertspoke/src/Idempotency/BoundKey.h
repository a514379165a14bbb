#ifndef FILBERTSPOKE_BOUND_KEY_H
#define FILBERTSPOKE_BOUND_KEY_H

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace filbertspoke {

/** \brief An idempotency key that a daemon made, which only that daemon's process may run.
 *
 * It needs neither the log nor agreement: the process remembers what it ran, and when the
 * process is gone nobody runs the key.
 */
struct BoundKey {
    DaemonId daemon;
    std::uint64_t incarnation = 0; ///< start time of the process in microseconds since 1970
    std::uint64_t serial = 0; ///< counts the keys of the process, from 1

    /** \returns the text that callers send back, "bound.<incarnation>.<serial>.<daemon>" */
    std::string str() const;

    /** \returns whether \a text claims to be a bound key, well-formed or not */
    static bool hasBoundPrefix(std::string_view text);
    /** \returns the key, or ErrorCode::MalformedKey */
    static Result<BoundKey> parse(std::string_view text);

    auto operator<=>(const BoundKey&) const = default;
};

}

#endif
