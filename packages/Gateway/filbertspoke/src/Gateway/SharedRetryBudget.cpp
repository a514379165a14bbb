#include <filbertspoke/Gateway>

#include <algorithm>

namespace filbertspoke {

namespace {

// The rest of the reserve covers requests that the window in which they are counted and a gateway place differently.
constexpr double reserveFraction = 0.8;
// As above, for the ratio.
constexpr double ratioFraction = 0.85;
// Before a gateway knows the others, it takes a part as if there were so many.
constexpr std::size_t leastGateways = 4;

double share(double reserve, std::size_t gateways)
{
    return reserve * reserveFraction / static_cast<double>(std::max(gateways, leastGateways));
}

}

SharedRetryBudget::SharedRetryBudget(double ratio, double reserve)
    : reserve(reserve)
    , budget(ratio * ratioFraction, share(reserve, 0), 0)
{
}

void SharedRetryBudget::setGateways(std::size_t known)
{
    this->budget.setReserve(share(this->reserve, known));
}

}
