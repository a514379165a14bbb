#ifndef FILBERTSPOKE_CALLER_KEY_H
#define FILBERTSPOKE_CALLER_KEY_H

#include <filbertspoke/Core>

#include <compare>
#include <string>
#include <string_view>
#include <utility>

namespace filbertspoke {

/** \brief An idempotency key that the caller made: a UUID of version 7.
 *
 * The time within it bounds how long the key must be remembered. Keys order by that time.
 */
class CallerKey {
public:
    /** \brief Reads the canonical text of a UUID, upper or lower case.
     *
     * \returns the key, or ErrorCode::MalformedKey for any other text or version
     */
    static Result<CallerKey> parse(std::string_view text);

    /** \returns a text that orders after every key older than \a time and before all others */
    static std::string lowerBound(WallTime time);

    /** \returns the canonical text in lower case */
    const std::string& str() const { return this->text; }
    /** \returns when the key was made, by the caller's clock, to the millisecond */
    WallTime time() const { return this->creationTime; }

    auto operator<=>(const CallerKey&) const = default;

private:
    CallerKey(std::string text, WallTime time)
        : text(std::move(text))
        , creationTime(time)
    {
    }

    std::string text;
    WallTime creationTime;
};

}

#endif
