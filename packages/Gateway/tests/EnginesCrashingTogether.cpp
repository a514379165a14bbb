// Load pattern: three or four engines crash within a fraction of a second for a cause of their own, under sound requests of several accounts.
#include <filbertspoke/Gateway>
#include <filbertspoke/Testing>

#include <cstddef>
#include <random>
#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Traits = std::vector<RequestTraitId>;

constexpr int accounts = 4;

EndpointRun run(int number)
{
    return { EndpointId("e" + std::to_string(number)), 1000 };
}

Traits requestOf(int account, int number)
{
    return { RequestTraitId("prompt-part:account" + std::to_string(account)), RequestTraitId("request:" + std::to_string(number)) };
}

struct Fixture {
    void serveOthers(std::size_t gateway)
    {
        for (int request = 0; request < 5; ++request)
            this->gateways[gateway].noteServed({ RequestTraitId("prompt-part:other") }, this->now);
    }

    void exchange()
    {
        for (int round = 0; round < 2; ++round) {
            for (RequestQuarantine& own : this->gateways) {
                for (const RequestQuarantine& other : this->gateways)
                    own.merge(&own == &other ? std::vector<RequestTraitEvidence> {} : other.evidence(this->now), this->now);
            }
        }
    }

    /** \brief Lets evidence spread for longer than a decision takes. */
    void settle()
    {
        this->now += 200ms;
        this->exchange();
        this->now += 1s;
        for (std::size_t gateway = 0; gateway < this->gateways.size(); ++gateway)
            this->serveOthers(gateway);
        this->exchange();
    }

    /** \brief An engine crashes under one request of each account, spread over the gateways. */
    void crashUnderAllAccounts(int engine, Duration held)
    {
        for (int account = 0; account < accounts; ++account)
            this->gatewayOf(account + engine).noteCrash(requestOf(account, ++this->sent), run(engine), this->now, held);
    }

    RequestQuarantine& gatewayOf(int number) { return this->gateways[static_cast<std::size_t>(number) % this->gateways.size()]; }

    std::size_t quarantinedTraits()
    {
        std::size_t traits = 0;
        for (RequestQuarantine& gateway : this->gateways) {
            gateway.update(this->now);
            traits += gateway.quarantined(this->now).size();
        }
        return traits;
    }

    std::vector<RequestQuarantine> gateways { 1 };
    TimePoint now { 100s };
    int sent = 0;
};

}

// Guards against the quarantine of an account's common prompt part, requests with which were at several engines that crashed together.
BOOST_FIXTURE_TEST_CASE(partsOfRequestsAtEnginesThatCrashTogetherAreNotQuarantined, Fixture)
{
    for (int engine = 1; engine <= 4; ++engine) {
        this->crashUnderAllAccounts(engine, 2s);
        this->now += 95ms;
    }
    this->settle();
    BOOST_TEST(this->quarantinedTraits() == 0U);
}

// Guards against the same on sites whose gateways see a part of the crashes each, at any times within the 300 ms.
BOOST_AUTO_TEST_CASE(gatewaysThatMergeTheirEvidenceQuarantineNothing)
{
    testing::checkProperty([] {
        Fixture site;
        site.gateways.resize(*rc::gen::inRange<std::size_t>(1, 8));
        const int engines = *rc::gen::inRange(3, 5);
        const TimePoint first = site.now;
        for (int engine = 0; engine < engines; ++engine) {
            site.now = std::max(site.now, first + std::chrono::milliseconds(*rc::gen::inRange(0, 301)));
            site.crashUnderAllAccounts(engine, std::chrono::milliseconds(*rc::gen::inRange(300, 3000)));
            if (*rc::gen::arbitrary<bool>())
                site.exchange();
        }
        site.settle();
        RC_ASSERT(site.quarantinedTraits() == 0U);
    },
        200);
}

// Guards against engines that crash together and one that crashes later making up three pieces of evidence.
BOOST_FIXTURE_TEST_CASE(enginesThatCrashTogetherAndALaterOneAreTwoEvents, Fixture)
{
    for (int engine = 1; engine <= 4; ++engine) {
        this->crashUnderAllAccounts(engine, 2s);
        this->now += 90ms;
    }
    this->now += 5s;
    this->crashUnderAllAccounts(5, 1s);
    this->settle();
    BOOST_TEST(this->quarantinedTraits() == 0U);
}

// Guards against the quarantine of a sound request that is sent again to two engines which crash with the first one, and others beside them.
BOOST_FIXTURE_TEST_CASE(requestSentAgainToEnginesThatCrashTogetherIsNotQuarantined, Fixture)
{
    const Traits repeated = requestOf(9, 9000);
    for (int engine = 1; engine <= 4; ++engine) {
        this->crashUnderAllAccounts(engine, 2s);
        if (engine != 2)
            this->gateways.front().noteCrash(repeated, run(engine), this->now, engine == 1 ? 1s : 50ms);
        this->now += 80ms;
    }
    this->settle();
    BOOST_TEST(this->quarantinedTraits() == 0U);
}

// Guards against the crashes of later engines of chains, whose time is unknown, counting as separate because the requests there were sent at different times.
BOOST_FIXTURE_TEST_CASE(crashesOfUnknownTimeCountAtTheLatestRequestThere, Fixture)
{
    const TimePoint crashedAt = this->now;
    for (int engine = 1; engine <= 4; ++engine) {
        for (const Duration age : { 1700ms / engine, 10ms * engine }) {
            this->now = crashedAt - age;
            this->crashUnderAllAccounts(engine, Duration::zero());
        }
    }
    this->now = crashedAt;
    this->settle();
    BOOST_TEST(this->quarantinedTraits() == 0U);
}

// Guards against evidence of a request that was sent through engines which had crashed before, so that it was not there.
BOOST_FIXTURE_TEST_CASE(requestSentToCrashedEnginesIsNoEvidence, Fixture)
{
    const Traits late = requestOf(9, 9000);
    for (int engine = 1; engine <= 3; ++engine) {
        this->crashUnderAllAccounts(engine, 2s);
        this->now += 100ms;
        this->gateways.front().noteCrash(late, run(engine), this->now, Duration::zero());
        this->now += 300ms;
        for (int account = 0; account < accounts; ++account)
            this->gateways.front().noteServed({ requestOf(account, 0).front() }, this->now);
    }
    this->settle();
    BOOST_TEST(!this->gateways.front().refusalTime(late, this->now).has_value());
    this->quarantinedTraits();
    BOOST_TEST(!this->gateways.front().refusalTime(late, this->now).has_value());
}

// Guards against a crashing request that passes for one of the sound requests at the engines which it crashes.
BOOST_FIXTURE_TEST_CASE(requestSentAfterEachCrashBeforeIsQuarantinedAfterThree, Fixture)
{
    const Traits crashing = requestOf(9, 9000);
    this->gateways.resize(3);
    for (int engine = 1; engine <= 3; ++engine) {
        this->now += 60ms;
        this->gatewayOf(engine).noteCrash(crashing, run(engine), this->now, 50ms);
        this->crashUnderAllAccounts(engine, 2s);
    }
    this->settle();
    this->quarantinedTraits();
    for (const RequestQuarantine& gateway : this->gateways) {
        BOOST_TEST(gateway.refusalTime(crashing, this->now).has_value());
        for (int request = 1; request <= this->sent; ++request)
            BOOST_TEST(!gateway.refusalTime(requestOf((request - 1) % accounts, request), this->now).has_value());
    }
}

// Guards against two crashing requests that shield each other: the crashes of each look like a common cause to the other.
BOOST_FIXTURE_TEST_CASE(twoRequestsThatCrashEnginesAtTheSameTimeAreQuarantined, Fixture)
{
    const RequestTraitId first("request:first");
    const RequestTraitId second("request:second");
    for (int engine = 1; engine <= 20; engine += 2) {
        this->now += 80ms;
        this->gateways.front().noteCrash({ first }, run(engine), this->now, 70ms);
        this->gateways.front().noteCrash({ second }, run(engine + 1), this->now, 70ms);
    }
    this->settle();
    this->quarantinedTraits();
    BOOST_TEST(this->gateways.front().refusalTime({ first }, this->now).has_value());
    BOOST_TEST(this->gateways.front().refusalTime({ second }, this->now).has_value());
}
