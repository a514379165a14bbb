#ifndef FILBERTSPOKE_SHARED_RETRY_BUDGET_H
#define FILBERTSPOKE_SHARED_RETRY_BUDGET_H

#include <filbertspoke/Routing>

#include <cstddef>
#include <optional>

namespace filbertspoke {

/** \brief One gateway's part of the retries that all gateways of a site may make at a service together.
 *
 * It starts with no retry saved: gateways that restart in series would otherwise spend the reserve many times over. What
 * all of them make in any window is at most what they hold at its start and what they earn in it.
 */
class SharedRetryBudget {
public:
    /** \param ratio retries allowed for each request
     * \param reserve further retries of all gateways together, within the time in which requests are counted */
    SharedRetryBudget(double ratio, double reserve);

    void firstAttempt() { this->budget.firstAttempt(); }

    /** \returns whether a retry may be made now */
    bool hasRetry() const { return this->budget.hasRetry(); }

    /** \returns whether a retry may be made now, and counts it when it may */
    bool takeRetry() { return this->budget.takeRetry(); }

    /** \returns the retries that this gateway has saved up */
    double saved() const { return this->budget.saved(); }

    /** \brief Shares the reserve among so many gateways, this one included.
     * \param known nothing while this gateway can't tell; it then saves up for one retry at most */
    void setGatewayCount(std::optional<std::size_t> known);

private:
    double reserve;
    RetryBudget budget;
};

}

#endif
