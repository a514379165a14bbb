// The order of generations that wait for capacity, and which of them plan, alone and under a load well over capacity.
#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Ticket = CapacityQueue::Ticket;

const ServiceId service("s");
constexpr TimePoint start { 100s };

WaitingGeneration generation(const std::string& account, std::optional<std::uint32_t> priority, double tokens)
{
    return { service, AccountId(account), priority, tokens, false, false };
}

/** \returns the generations in the order in which they start when there is capacity for all */
std::vector<Ticket> startAll(CapacityQueue& queue)
{
    std::vector<Ticket> started;
    while (const auto ticket = queue.next(service)) {
        started.push_back(*ticket);
        queue.start(*ticket);
    }
    return started;
}

/** \returns the generations that plan until the next round, without a chain for any */
std::vector<Ticket> failAll(CapacityQueue& queue)
{
    std::vector<Ticket> planned;
    while (const auto ticket = queue.next(service)) {
        planned.push_back(*ticket);
        queue.notePlanFailed(*ticket);
    }
    return planned;
}

/** \brief Callers whose demand is twice the capacity for 20 s, and one of whose accounts has six times the load of each other. */
class Overload {
public:
    void play()
    {
        for (; this->now < start + 20s; this->now += 5ms) {
            this->arrive();
            this->release();
            this->queue.beginRound(service, this->revision, this->now);
            this->plan();
        }
    }

    /** \returns the share of the generations with the key that started */
    template <typename Key>
    double served(const std::map<Key, std::pair<int, int>>& counts, const Key& key) const
    {
        return static_cast<double>(counts.at(key).second) / counts.at(key).first;
    }

    std::map<std::uint32_t, std::pair<int, int>> priorities; ///< arrived and started
    std::map<std::string, std::pair<int, int>> accounts; ///< of priority 1
    int mostPlansBehindHead = 0; ///< in one planning round

private:
    static constexpr Duration waitLimit = 1200ms; // 0.6 of a target latency of 2 s

    void arrive()
    {
        if (std::uniform_real_distribution<>()(this->random) >= 0.4) // 80 generations per second
            return;
        const std::uint32_t priority = std::discrete_distribution<std::uint32_t> { 1, 3, 3 }(this->random);
        const int account = std::discrete_distribution<int> { 6, 1, 1, 1, 1, 1 }(this->random);
        const WaitingGeneration arrived = generation("a" + std::to_string(account), priority, std::uniform_real_distribution<>(100, 1900)(this->random));
        this->waiting[this->queue.enter(arrived)] = this->now + waitLimit;
        this->count(arrived, &std::pair<int, int>::first);
    }

    /** \brief Ends generations, and the waits that have reached their limit. */
    void release()
    {
        for (; !this->running.empty() && this->running.begin()->first <= this->now; this->running.erase(this->running.begin()), ++this->revision)
            this->freeTokens += this->running.begin()->second;
        std::erase_if(this->waiting, [this](const auto& waiter) {
            if (waiter.second <= this->now)
                this->queue.leave(waiter.first);
            return waiter.second <= this->now;
        });
    }

    void plan()
    {
        if (this->queue.nextRoundAt(service) != std::exchange(this->roundEnd, this->queue.nextRoundAt(service)))
            this->plansBehindHead = 0;
        while (const auto ticket = this->queue.next(service)) {
            const WaitingGeneration planned = this->queue.generation(*ticket);
            this->plansBehindHead += this->queue.head(service) == ticket ? 0 : 1;
            this->mostPlansBehindHead = std::max(this->mostPlansBehindHead, this->plansBehindHead);
            if (planned.tokens > this->freeTokens) {
                this->queue.notePlanFailed(*ticket);
                continue;
            }
            this->freeTokens -= planned.tokens;
            this->running.emplace(this->now + 1s, planned.tokens);
            this->waiting.erase(*ticket);
            this->queue.start(*ticket);
            this->count(planned, &std::pair<int, int>::second);
        }
    }

    void count(const WaitingGeneration& counted, int std::pair<int, int>::*field)
    {
        ++(this->priorities[*counted.priority].*field);
        if (counted.priority == 1U)
            ++(this->accounts[counted.account.str()].*field);
    }

    CapacityQueue queue;
    std::mt19937 random { 7 };
    TimePoint now = start;
    double freeTokens = 40000; // 40 generations per second of 1 s each
    std::uint64_t revision = 1;
    TimePoint roundEnd;
    int plansBehindHead = 0;
    std::multimap<TimePoint, double> running;
    std::map<Ticket, TimePoint> waiting;
};

}

// Sites with one priority and one account lose their order: first in, first out.
BOOST_AUTO_TEST_CASE(oneClassIsFirstInFirstOut)
{
    CapacityQueue queue;
    std::vector<Ticket> entered;
    for (const double tokens : { 900, 100, 500, 300 })
        entered.push_back(queue.enter(generation("", {}, tokens)));
    BOOST_TEST(startAll(queue) == entered, boost::test_tools::per_element());
}

// A less urgent generation, or one that has not begun, starts before a more urgent one or a stream whose caller sees a gap.
BOOST_AUTO_TEST_CASE(begunStreamsGoFirstThenThePriority)
{
    CapacityQueue queue;
    const Ticket low = queue.enter(generation("a", 6, 100));
    const Ticket unnamed = queue.enter(generation("a", {}, 100));
    const Ticket urgent = queue.enter(generation("a", 0, 100));
    WaitingGeneration stream = generation("a", 9, 100);
    stream.begun = true;
    const Ticket begun = queue.enter(stream);
    BOOST_TEST(startAll(queue) == (std::vector<Ticket> { begun, urgent, unnamed, low }), boost::test_tools::per_element());
}

// After each change every waiter plans, or a new generation takes the capacity that the head waits for.
BOOST_AUTO_TEST_CASE(behindAHeadWithoutChainFewSmallerOnesPlan)
{
    CapacityQueue queue;
    const Ticket head = queue.enter(generation("a", 1, 500));
    std::vector<Ticket> waiters;
    for (const double tokens : { 500., 400., 450., 300., 200., 100. })
        waiters.push_back(queue.enter(generation("a", 1, tokens)));
    queue.beginRound(service, 1, start);
    const std::vector<Ticket> expected { head, waiters[1], waiters[3], waiters[4] };
    BOOST_TEST(failAll(queue) == expected, boost::test_tools::per_element());
    queue.enter(generation("a", 1, 50));
    BOOST_TEST(!queue.next(service));
    queue.beginRound(service, 2, start + CapacityQueue::minimumRound / 2);
    BOOST_TEST(!queue.next(service));
    queue.beginRound(service, 2, start + CapacityQueue::minimumRound);
    BOOST_TEST(failAll(queue) == expected, boost::test_tools::per_element());
    queue.beginRound(service, 2, start + CapacityQueue::minimumRound + CapacityQueue::maximumRound);
    BOOST_TEST((queue.next(service) == head));
}

// A more urgent generation waits for the next change of capacity behind a less urgent one that found no chain.
BOOST_AUTO_TEST_CASE(newHeadPlansAtOnce)
{
    CapacityQueue queue;
    queue.enter(generation("a", 1, 500));
    queue.beginRound(service, 1, start);
    failAll(queue);
    const Ticket urgent = queue.enter(generation("a", 0, 900));
    BOOST_TEST(failAll(queue) == std::vector<Ticket> { urgent }, boost::test_tools::per_element());
}

// A generation that waits for a rate limit blocks the others, or loses its place.
BOOST_AUTO_TEST_CASE(pausedGenerationDoesNotBlockAndKeepsItsPlace)
{
    CapacityQueue queue;
    const Ticket paused = queue.enter(generation("a", 1, 100));
    const Ticket second = queue.enter(generation("a", 1, 900));
    queue.setPaused(paused, true);
    BOOST_TEST((queue.next(service) == second));
    queue.setPaused(paused, false);
    BOOST_TEST((queue.next(service) == paused));
    queue.leave(paused);
    BOOST_TEST((queue.head(service) == second));
}

// Repeated generations, whose endpoints are gone, keep those that may use all endpoints from planning.
BOOST_AUTO_TEST_CASE(restrictedGenerationsDoNotBlockOthers)
{
    CapacityQueue queue;
    WaitingGeneration repeat = generation("a", 1, 100);
    repeat.restricted = true;
    const std::vector<Ticket> repeats { queue.enter(repeat), queue.enter(repeat), queue.enter(repeat) };
    const Ticket fresh = queue.enter(generation("a", 1, 100));
    queue.beginRound(service, 1, start);
    BOOST_TEST(failAll(queue) == (std::vector<Ticket> { repeats[0], repeats[1], fresh }), boost::test_tools::per_element());
}

// Under a load well over capacity the least urgent are served as well as the most urgent, a large account displaces the others, or the
// plans for generations without a chain take the gateway's processor.
BOOST_AUTO_TEST_CASE(overloadIsServedByUrgencyAndEvenlyOverAccounts)
{
    Overload site;
    site.play();
    BOOST_TEST(site.served(site.priorities, 0U) > 0.95);
    BOOST_TEST(site.served(site.priorities, 0U) > site.served(site.priorities, 1U));
    BOOST_TEST(site.served(site.priorities, 1U) > site.served(site.priorities, 2U));
    BOOST_TEST(site.priorities[2].second > 0);
    for (const auto& [account, counts] : site.accounts) {
        BOOST_TEST(counts.second > 0);
        if (account != "a0")
            BOOST_TEST(site.served(site.accounts, account) > site.served(site.accounts, std::string("a0")), account);
    }
    BOOST_TEST(site.mostPlansBehindHead == 3);
}
