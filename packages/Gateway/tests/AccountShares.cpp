#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

const AccountId large("large");

struct Fixture {
    /** \brief Replays \a length in which the large account starts \a factor times as many tokens as each of four others. */
    void replay(double factor, Duration length)
    {
        for (const TimePoint end = this->now + length; this->now < end; this->now += 100ms) {
            this->shares.noteStarted(large, 1000 * factor, this->now);
            for (const char* account : { "b", "c", "d", "e" })
                this->shares.noteStarted(AccountId(account), 1000, this->now);
        }
    }

    AccountShares shares;
    TimePoint now { 100s };
};

}

// Guards against an account that is held back for usual differences, or that is not held back during a burst.
BOOST_FIXTURE_TEST_CASE(accountIsBeyondItsShareAboveTwiceTheEqualShare, Fixture)
{
    this->replay(2, 20s);
    BOOST_TEST(!this->shares.isBeyondShare(large, this->now));
    this->replay(10, 5s);
    BOOST_TEST(this->shares.isBeyondShare(large, this->now));
    BOOST_TEST(!this->shares.isBeyondShare(AccountId("b"), this->now));
}

// Guards against an account that stays held back long after its burst.
BOOST_FIXTURE_TEST_CASE(burstIsForgottenAfterSomeSeconds, Fixture)
{
    this->replay(10, 5s);
    this->replay(1, 15s);
    BOOST_TEST(!this->shares.isBeyondShare(large, this->now));
}

// Guards against an account that is held back for nobody: without other accounts, or when they have stopped.
BOOST_FIXTURE_TEST_CASE(accountAloneIsNotBeyondItsShare, Fixture)
{
    this->shares.noteStarted(large, 1000, this->now);
    BOOST_TEST(!this->shares.isBeyondShare(large, this->now));
    this->replay(10, 5s);
    for (int second = 0; second < 11; ++second)
        this->shares.noteStarted(large, 1000, this->now += 1s);
    BOOST_TEST(!this->shares.isBeyondShare(large, this->now));
    BOOST_TEST(this->shares.activeAccounts(this->now) == 1U);
}

// Guards against accounts of equal size that are held back by chance, because few generations start at a small gateway.
BOOST_FIXTURE_TEST_CASE(chanceTakesFewOfEqualAccountsBeyondTheirShare, Fixture)
{
    constexpr int starts = 20000;
    Random random(1);
    for (const int accounts : { 5, 10, 24 }) {
        for (const double perSecondAndAccount : { 0.05, 0.1, 0.3 }) {
            AccountShares equal;
            std::exponential_distribution<double> pause(perSecondAndAccount * accounts);
            int beyond = 0;
            for (int start = 0; start < starts; ++start) {
                this->now += scaled(1s, pause(random));
                const AccountId account(std::to_string(std::uniform_int_distribution<int>(1, accounts)(random)));
                beyond += equal.isBeyondShare(account, this->now) ? 1 : 0;
                equal.noteStarted(account, 1000, this->now);
            }
            BOOST_TEST(beyond < starts * 0.03, accounts << " accounts, " << perSecondAndAccount << " a second each: " << beyond);
        }
    }
}

// Guards against state that grows with the accounts of the past.
BOOST_FIXTURE_TEST_CASE(inactiveAccountsAreForgotten, Fixture)
{
    this->replay(1, 1s);
    BOOST_TEST(this->shares.activeAccounts(this->now) == 5U);
    BOOST_TEST(this->shares.activeAccounts(this->now + 11s) == 0U);
    BOOST_TEST(!this->shares.isBeyondShare(large, this->now + 11s));
}
