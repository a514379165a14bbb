#ifndef FILBERTSPOKE_REFUSAL_H
#define FILBERTSPOKE_REFUSAL_H

#include "ErrorCode.h"
#include "Time.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace filbertspoke {

/** \brief Whether a refused request was executed by an endpoint. */
enum class Ran {
    No, ///< no byte reached an endpoint, or the endpoint stated that the request did not run
    Yes,
    Unknown,
};

/** \returns "no", "yes" or "unknown" */
constexpr std::string_view name(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        return "unknown";
    }
    return "unknown";
}

/** \brief The final answer to a request that is not served: the reason and when to retry. */
class Refusal {
public:
    Refusal(ErrorCode code, Ran ran)
        : errorCode(code)
        , ranState(ran)
    {
    }

    /** \returns a copy of the refusal that tells the caller to retry after \a delay */
    Refusal retryAfter(Duration delay) const
    {
        Refusal copy = *this;
        copy.retryDelay = delay;
        return copy;
    }

    /** \returns a copy of the refusal with a text for human readers; programs must use code() */
    Refusal withDetail(std::string text) const
    {
        Refusal copy = *this;
        copy.detailText = std::move(text);
        return copy;
    }

    ErrorCode code() const { return this->errorCode; }
    Ran ran() const { return this->ranState; }
    std::optional<Duration> retryAfter() const { return this->retryDelay; }
    const std::string& detail() const { return this->detailText; }

    bool operator==(const Refusal&) const = default;

private:
    ErrorCode errorCode;
    Ran ranState;
    std::optional<Duration> retryDelay;
    std::string detailText;
};

/** \returns the HTTP status of a refusal with \a code */
unsigned httpStatus(ErrorCode code);

}

#endif
