#ifndef FILBERTSPOKE_ACCOUNT_LIMITER_H
#define FILBERTSPOKE_ACCOUNT_LIMITER_H

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace filbertspoke {

/** \brief Holds the client accounts' limits over all daemons, with no coordinator.
 *
 * Each daemon takes a part of the limit in proportion to the demand that it sees. Every daemon that
 * it doesn't hear from counts as if it used its even part, so that the parts never add up to more
 * than the limit while all know the same daemons and their demands; cut off from all, a daemon is
 * left with limit / N.
 */
class AccountLimiter {
public:
    void configure(const Configuration&);
    /** \param count all daemons that may admit requests, with this one */
    void setDaemons(std::uint32_t count);

    /** \brief Takes the latest demand of another daemon. */
    void updatePeerDemand(const DaemonId&, const std::vector<AccountDemand>&, TimePoint);
    void forgetPeer(const DaemonId&);
    /** \returns what this daemon tells the others */
    std::vector<AccountDemand> demand(TimePoint) const;

    /** \brief Counts one offered request against the account's rate.
     * \returns nothing when it may pass, else when the caller may come back: each refused request is
     * told a later time, at the pace of the limit */
    std::optional<Duration> take(const AccountId&, TimePoint);
    /** \returns whether the account's part of its concurrency allows one more request */
    bool mayStart(const AccountId&, TimePoint) const;
    /** \returns the account's part of its concurrency on this daemon; nothing when it has no limit */
    std::optional<std::uint32_t> concurrency(const AccountId&, TimePoint) const;

    void queued(const AccountId&);
    void unqueued(const AccountId&);
    void started(const AccountId&);
    void finished(const AccountId&);

private:
    struct Account {
        AccountConfiguration configuration;
        double offeredRate = 0; ///< requests a second, smoothed
        TimePoint offeredAt;
        double tokens = 0;
        TimePoint refilledAt;
        TimePoint promised; ///< the latest time that a refused request was told
        std::uint32_t waiting = 0;
        std::uint32_t inProgress = 0;
    };

    struct Peer {
        std::map<AccountId, AccountDemand> demands;
        TimePoint heardAt;
    };

    double decayedRate(const Account&, TimePoint) const;
    /** \returns the part of a limit that this daemon may use, in (0, 1] */
    template <typename Measure>
    double share(const Account&, double ownDemand, double evenDemand, const Measure&, TimePoint) const;
    double rateShare(const Account&, TimePoint) const;

    std::map<AccountId, Account> accounts;
    std::map<DaemonId, Peer> peers;
    std::uint32_t daemons = 1;
};

}

#endif
