#include <filbertspoke/Routing>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <map>

using namespace filbertspoke;
using std::chrono::seconds;

namespace {

Configuration twoAccounts()
{
    return Configuration::Builder()
        .account(AccountConfiguration { AccountId("large"), 3, 0, 0 })
        .account(AccountConfiguration { AccountId("small"), 1, 0, 0 })
        .account(AccountConfiguration { AccountId("capped"), 1, 0, 1 })
        .build();
}

struct Fixture {
    AdmissionController admission { twoAccounts(), AdmissionLimits { 1, 100 } };
    TimePoint now;

    AdmissionDecision offer(const std::string& request, const std::string& account, std::int32_t priority = 0, Duration patience = seconds(1000))
    {
        return this->admission.offer({ RequestId(request), AccountId(account), priority, this->now + patience, 1 }, this->now);
    }
};

}

BOOST_FIXTURE_TEST_CASE(startsFollowTheWeightsUnderContention, Fixture)
{
    this->offer("first", "small");
    for (int number = 0; number < 40; ++number) {
        this->offer("l" + std::to_string(number), "large");
        this->offer("s" + std::to_string(number), "small");
    }

    std::map<char, int> starts;
    RequestId current("first");
    for (int round = 0; round < 40; ++round) {
        current = this->admission.finished(current, this->now).at(0);
        ++starts[current.str()[0]];
    }

    BOOST_TEST(starts['l'] >= 29);
    BOOST_TEST(starts['l'] <= 31);
}

BOOST_FIXTURE_TEST_CASE(higherPriorityStartsFirstWithinTheAccount, Fixture)
{
    this->offer("running", "small");
    this->offer("low", "small", 0);
    this->offer("high", "small", 5);

    BOOST_TEST((this->admission.finished(RequestId("running"), this->now) == std::vector { RequestId("high") }));
}

BOOST_FIXTURE_TEST_CASE(unreachableDeadlineIsRefusedAtOnceWithWhenToComeBack, Fixture)
{
    this->offer("measured", "small");
    this->now += seconds(2);
    this->admission.finished(RequestId("measured"), this->now);
    this->offer("running", "small");

    const AdmissionDecision decision = this->offer("hasty", "small", 0, seconds(1));

    const Refusal& refusal = std::get<Refusal>(decision);
    BOOST_TEST((refusal.code() == ErrorCode::DeadlineUnreachable));
    BOOST_TEST((refusal.ran() == Ran::No));
    // It would wait two seconds and take two more.
    BOOST_TEST((refusal.retryAfter() == Duration(seconds(3))));
}

BOOST_FIXTURE_TEST_CASE(waitingRequestIsRefusedAsSoonAsItsDeadlineIsOutOfReach, Fixture)
{
    this->offer("measured", "small");
    this->now += seconds(2);
    this->admission.finished(RequestId("measured"), this->now);
    this->offer("running", "small");
    this->offer("waiting", "small", 0, seconds(5));
    const TimePoint latestStart = this->now + seconds(3);

    BOOST_TEST(this->admission.expire(latestStart).empty());
    BOOST_TEST((this->admission.nextWake() == latestStart + Duration(1)));
    const std::vector<RefusedRequest> refused = this->admission.expire(latestStart + Duration(1));

    BOOST_REQUIRE(refused.size() == 1);
    BOOST_TEST((refused[0].refusal.code() == ErrorCode::DeadlineUnreachable));
    BOOST_TEST((refused[0].refusal.retryAfter() > Duration::zero()));
}

BOOST_FIXTURE_TEST_CASE(waitingRequestIsRefusedWhenItsDeadlinePasses, Fixture)
{
    this->offer("running", "small");
    this->offer("waiting", "small", 0, seconds(1));

    this->now = this->admission.nextWake().value();
    const std::vector<RefusedRequest> refused = this->admission.expire(this->now);

    BOOST_REQUIRE(refused.size() == 1);
    BOOST_TEST(refused[0].request.str() == "waiting");
    BOOST_TEST((refused[0].refusal.code() == ErrorCode::DeadlineUnreachable));
    BOOST_TEST(this->admission.finished(RequestId("running"), this->now).empty());
}

BOOST_FIXTURE_TEST_CASE(accountAtItsLimitLetsOthersPass, Fixture)
{
    this->admission.setLimits(AdmissionLimits { 2, 100 });
    this->offer("c1", "capped");
    this->offer("c2", "capped");

    BOOST_TEST((std::holds_alternative<Admitted>(this->offer("s1", "small"))));
    BOOST_TEST((this->admission.finished(RequestId("c1"), this->now) == std::vector { RequestId("c2") }));
}

BOOST_FIXTURE_TEST_CASE(cancelledRequestNeverStarts, Fixture)
{
    this->offer("running", "small");
    this->offer("waiting", "small");
    this->admission.cancel(RequestId("waiting"), this->now);

    BOOST_TEST(this->admission.finished(RequestId("running"), this->now).empty());
    BOOST_TEST(this->admission.queued() == 0u);
}

BOOST_FIXTURE_TEST_CASE(unknownAccountIsRefused, Fixture)
{
    const AdmissionDecision decision = this->offer("stranger", "nobody");

    BOOST_TEST((std::get<Refusal>(decision).code() == ErrorCode::UnknownAccount));
}
