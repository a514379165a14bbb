#ifndef FILBERTSPOKE_CALLER_KEY_H
#define FILBERTSPOKE_CALLER_KEY_H

#include <filbertspoke/Core>

#include <compare>
#include <string>
#include <string_view>
#include <utility>

namespace filbertspoke {

/** \brief Idempotency key chosen by the caller: a UUID of version 7.
 *
 * The timestamp in the UUID limits how long the key must be stored. Keys are ordered by this timestamp.
 */
class CallerKey {
public:
    /** \brief Parses the canonical text form of a UUID, in upper or lower case.
     *
     * \returns the key, or ErrorCode::MalformedKey for any other text or version
     */
    static Result<CallerKey> parse(std::string_view text);

    /** \returns a text that sorts after every key created before \a time and before all other keys */
    static std::string lowerBound(WallTime time);

    /** \returns the canonical text form in lower case */
    const std::string& str() const { return this->text; }
    /** \returns the creation time of the key by the caller's clock, with millisecond resolution */
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
