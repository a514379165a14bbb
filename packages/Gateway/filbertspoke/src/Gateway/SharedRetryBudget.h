#ifndef FILBERTSPOKE_SHARED_RETRY_BUDGET_H
#define FILBERTSPOKE_SHARED_RETRY_BUDGET_H

#include <filbertspoke/Routing>

#include <cstddef>
#include <optional>

namespace filbertspoke {

/** \brief One gateway's share of the retry budget that the gateways of a site have for a service.
 *
 * The budget is a token bucket that starts empty, because gateways that restart repeatedly would otherwise spend the reserve many
 * times over. The retries of all gateways in any time window are at most the sum of what they hold at its start and what they earn
 * during it.
 */
class SharedRetryBudget {
public:
    /** \param ratio retries allowed for each request
     * \param reserve additional retries of all gateways together in a time window */
    SharedRetryBudget(double ratio, double reserve);

    /** \brief Adds what the first attempt of a request earns. */
    void firstAttempt() { this->budget.firstAttempt(); }

    /** \returns whether a retry may be made now */
    bool hasRetry() const { return this->budget.hasRetry(); }

    /** \brief Takes a retry from the budget.
     * \returns whether there was one */
    bool takeRetry() { return this->budget.takeRetry(); }

    /** \returns the number of retries in the budget */
    double saved() const { return this->budget.saved(); }

    /** \brief Sets the number of gateways that share the reserve, including this one.
     * \param known nothing while the number is unknown; the budget is then limited to one retry */
    void setGatewayCount(std::optional<std::size_t> known);

private:
    double reserve;
    RetryBudget budget;
};

}

#endif
