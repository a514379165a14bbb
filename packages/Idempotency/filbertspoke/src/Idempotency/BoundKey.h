#ifndef FILBERTSPOKE_BOUND_KEY_H
#define FILBERTSPOKE_BOUND_KEY_H

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace filbertspoke {

/** \brief Idempotency key issued by a daemon; only the daemon process that issued it may run its action.
 *
 * Such a key needs no shared log: the issuing process keeps the result in memory, and after that
 * process has ended no daemon runs the key.
 */
struct BoundKey {
    DaemonId daemon;
    std::uint64_t incarnation = 0; ///< start time of the process in microseconds since 1970
    std::uint64_t serial = 0; ///< number of the key within its process, from 1

    /** \returns the text form that callers send, "bound.<incarnation>.<serial>.<daemon>" */
    std::string str() const;

    /** \returns whether \a text has the prefix of a bound key; the rest may be malformed */
    static bool hasBoundPrefix(std::string_view text);
    /** \brief Parses the text form of a bound key.
     *
     * \returns the key, or ErrorCode::MalformedKey
     */
    static Result<BoundKey> parse(std::string_view text);

    auto operator<=>(const BoundKey&) const = default;
};

}

#endif
