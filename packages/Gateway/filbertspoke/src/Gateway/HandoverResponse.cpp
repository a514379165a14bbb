#include <filbertspoke/Gateway>

namespace filbertspoke {

namespace {

constexpr unsigned firstRedirection = 300;
constexpr unsigned firstClientError = 400;
constexpr unsigned firstServerError = 500;
constexpr unsigned misdirected = 421;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned unavailable = 503;

}

bool beginsStream(unsigned status, bool sealed)
{
    return sealed && status < firstRedirection;
}

bool declinesHandover(unsigned status, bool sealed)
{
    return !sealed && status == misdirected;
}

std::optional<AttemptEnd> handoverFailure(unsigned status, bool sealed, bool ranHere, bool streaming)
{
    const bool promisesNotRun = !sealed && (status == unavailable || status == tooManyRequests);
    const bool differs = !sealed && status >= firstClientError && status < firstServerError && !promisesNotRun;
    if (differs || (promisesNotRun && (ranHere || streaming)))
        return AttemptEnd::NotExecuted;
    if (streaming && !beginsStream(status, sealed))
        return sealed ? AttemptEnd::ReportedFailure : AttemptEnd::Lost;
    return std::nullopt;
}

}
