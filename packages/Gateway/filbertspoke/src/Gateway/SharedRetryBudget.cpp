#include <filbertspoke/Gateway>

#include <algorithm>

namespace filbertspoke {

namespace {

// The rest of the reserve covers gateways that don't know the number of gateways and take unknownCountShare each.
constexpr double reserveFraction = 0.8;
// A request may be read one second after it was sent, and a retry may be delayed by two seconds. A window of ten seconds can therefore
// contain the retries of thirteen seconds.
constexpr double ratioFraction = 0.75;
// Smallest share that allows a retry.
constexpr double unknownCountShare = 1;

double reserveShare(double reserve, std::optional<std::size_t> gateways)
{
    if (!gateways)
        return std::min(unknownCountShare, reserve * reserveFraction);
    return reserve * reserveFraction / static_cast<double>(std::max<std::size_t>(*gateways, 1));
}

}

SharedRetryBudget::SharedRetryBudget(double ratio, double reserve)
    : reserve(reserve)
    , budget(ratio * ratioFraction, reserveShare(reserve, std::nullopt), 0)
{
}

void SharedRetryBudget::setGatewayCount(std::optional<std::size_t> known)
{
    this->budget.setReserve(reserveShare(this->reserve, known));
}

}
