#ifndef FILBERTSPOKE_RETRY_BUDGET_H
#define FILBERTSPOKE_RETRY_BUDGET_H

#include <algorithm>

namespace filbertspoke {

/** \brief Limits retries and hedges to a ratio of the first attempts, so that they cannot multiply the load. */
class RetryBudget {
public:
    /** \param ratio retries added to the balance by each first attempt
     * \param reserve retries available at once, and the maximum balance */
    RetryBudget(double ratio, double reserve)
        : RetryBudget(ratio, reserve, reserve)
    {
    }

    /** \param ratio retries added to the balance by each first attempt
     * \param reserve the maximum balance, in retries
     * \param saved the initial balance, in retries */
    RetryBudget(double ratio, double reserve, double saved)
        : ratio(ratio)
        , reserve(reserve)
        , balance(saved)
    {
    }

    /** \brief Adds the share of one first attempt to the balance. */
    void firstAttempt() { this->balance = std::min(this->balance + this->ratio, this->reserve); }

    /** \brief Changes the maximum balance, in retries; a larger balance is reduced to it. */
    void setReserve(double value)
    {
        this->reserve = value;
        this->balance = std::min(this->balance, value);
    }

    /** \returns whether a retry may be made now */
    bool hasRetry() const { return this->balance >= 1; }

    /** \brief Takes one retry from the balance when a retry may be made now.
     * \returns whether a retry may be made */
    bool takeRetry()
    {
        if (!this->hasRetry())
            return false;
        this->balance -= 1;
        return true;
    }

    /** \returns the balance, in retries */
    double saved() const { return this->balance; }

private:
    double ratio;
    double reserve;
    double balance;
};

}

#endif
