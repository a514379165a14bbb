#ifndef FILBERTSPOKE_ACCOUNT_SHARES_H
#define FILBERTSPOKE_ACCOUNT_SHARES_H

#include <filbertspoke/Core>

#include <cstddef>
#include <map>

namespace filbertspoke {

/** \brief Tracks which accounts start more than their share of a service's generations at this gateway.
 *
 * Load pattern: one of many accounts sends several times as many tokens as the others together and fills the engines, and the generations of the
 * other accounts are refused as often as its own. The tokens that each account has started decay exponentially, so that the account counts
 * as any other some seconds after its burst. Gateways count on their own: an account that sends to all of them is beyond its share at all. */
class AccountShares {
public:
    /** \brief Records that a generation of the account has started.
     * \param tokens of its prompt and its expected output */
    void noteStarted(const AccountId&, double tokens, TimePoint now);
    /** \returns whether the account has started more than twice its equal share, while other accounts are active. With two active accounts, twice
     * the equal share is everything, so that neither is beyond it */
    bool isBeyondShare(const AccountId&, TimePoint now);
    /** \returns the number of accounts that have recently started generations */
    std::size_t activeAccounts(TimePoint now);

private:
    struct Started {
        double tokens = 0; ///< decayed to the time of the last start
        TimePoint at; ///< of the last start
    };

    static double decayed(const Started&, TimePoint now);
    void forgetInactive(TimePoint now);

    std::map<AccountId, Started> accounts; ///< active ones only
};

}

#endif
