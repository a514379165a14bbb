#ifndef FILBERTSPOKE_RETRY_BUDGET_H
#define FILBERTSPOKE_RETRY_BUDGET_H

#include <algorithm>

namespace filbertspoke {

/** \brief Bounds retries and hedges to a part of the first attempts, so that they can't multiply load. */
class RetryBudget {
public:
    /** \param part retries allowed for each first attempt
     * \param reserve retries allowed without recent attempts, and the most that can be saved up */
    RetryBudget(double part, double reserve)
        : RetryBudget(part, reserve, reserve)
    {
    }

    /** \param saved retries that are allowed at once */
    RetryBudget(double part, double reserve, double saved)
        : part(part)
        , reserve(reserve)
        , balance(saved)
    {
    }

    void firstAttempt() { this->balance = std::min(this->balance + this->part, this->reserve); }

    /** \brief Changes how much can be saved up; what is saved beyond it is lost. */
    void setReserve(double value)
    {
        this->reserve = value;
        this->balance = std::min(this->balance, value);
    }

    /** \returns whether a retry may be made now */
    bool hasRetry() const { return this->balance >= 1; }

    /** \returns whether a retry may be made now, and counts it when it may */
    bool takeRetry()
    {
        if (!this->hasRetry())
            return false;
        this->balance -= 1;
        return true;
    }

    /** \returns the retries that are saved up */
    double saved() const { return this->balance; }

private:
    double part;
    double reserve;
    double balance;
};

}

#endif
