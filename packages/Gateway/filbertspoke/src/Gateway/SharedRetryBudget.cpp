#include <filbertspoke/Gateway>

#include <algorithm>

namespace filbertspoke {

namespace {

// The rest of the reserve covers gateways that don't know their number, with unknownShare each.
constexpr double reserveFraction = 0.8;
// A request may be read a second after it was sent, and a repeat may be held up for two, so that a window of ten seconds
// takes the repeats of thirteen.
constexpr double ratioFraction = 0.75;
// The least with which a retry can be made.
constexpr double unknownShare = 1;

double share(double reserve, std::optional<std::size_t> gateways)
{
    if (!gateways)
        return std::min(unknownShare, reserve * reserveFraction);
    return reserve * reserveFraction / static_cast<double>(std::max<std::size_t>(*gateways, 1));
}

}

SharedRetryBudget::SharedRetryBudget(double ratio, double reserve)
    : reserve(reserve)
    , budget(ratio * ratioFraction, share(reserve, std::nullopt), 0)
{
}

void SharedRetryBudget::setGatewayCount(std::optional<std::size_t> known)
{
    this->budget.setReserve(share(this->reserve, known));
}

}
