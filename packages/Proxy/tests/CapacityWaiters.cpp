// Which waiting generation is woken, without waiting for the timers.
#include <filbertspoke/ProcessTesting>
#include <filbertspoke/Proxy>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include <set>

using namespace filbertspoke;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

using Ticket = CapacityWaiters::Ticket;

struct Fixture {
    Ticket enter()
    {
        const Ticket ticket = this->waiters.enter({ ServiceId("s"), AccountId(), {}, 100, false, false });
        BOOST_TEST(this->waiters.mayPlan(ticket, 1, bootNow()) == (this->waiters.size() == 1));
        return ticket;
    }

    void suspend(Ticket ticket)
    {
        asio::co_spawn(this->context, this->waiters.wait(ticket, 1h, bootNow()), [this, ticket](std::exception_ptr) { this->woken.insert(ticket); });
        this->context.poll();
    }

    asio::io_context context;
    CapacityWaiters waiters { this->context };
    std::set<Ticket> woken;
};

}

// The place of a generation that was given up, or started, is noticed only when the others check again.
BOOST_FIXTURE_TEST_CASE(leavingWakesTheNextOnly, Fixture)
{
    const Ticket first = this->enter();
    const std::vector<Ticket> others { this->enter(), this->enter(), this->enter() };
    for (const Ticket ticket : others)
        this->suspend(ticket);
    this->waiters.leave(first);
    this->context.poll();
    BOOST_TEST(this->woken.count(others[0]) == 1U);
    BOOST_TEST(this->woken.size() == 1U);
    this->waiters.start(others[0]);
    this->context.poll();
    BOOST_TEST(this->woken.count(others[1]) == 1U);
    BOOST_TEST(this->woken.size() == 2U);
}

// A generation whose caller has left stays in the queue until its next check.
BOOST_FIXTURE_TEST_CASE(wakeAllWakesGenerationsBehindTheHead, Fixture)
{
    const std::vector<Ticket> all { this->enter(), this->enter(), this->enter() };
    for (const Ticket ticket : all) {
        if (ticket == all[0])
            this->waiters.notePlanFailed(ticket);
        this->suspend(ticket);
    }
    this->waiters.wakeAll();
    this->context.poll();
    BOOST_TEST(this->woken.size() == 3U);
}
