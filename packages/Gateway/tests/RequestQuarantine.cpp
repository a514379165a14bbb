// Which traits of requests are found to crash endpoints, from what one or several daemons observe.
#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Parts = std::vector<RequestTraitId>;

const RequestTraitId common("common");
const RequestTraitId crashing("crashing");
const RequestTraitId sound("sound");

EndpointRun run(int number)
{
    return { EndpointId("e" + std::to_string(number)), 1000 };
}

struct Fixture {
    void serveOthers(int requests)
    {
        for (int request = 0; request < requests; ++request)
            this->quarantine.noteServed({ common, RequestTraitId("other") }, this->now);
    }

    /** \brief An engine crashes under the parts, and requests without them are served afterwards. */
    void crash(const Parts& parts, int engine)
    {
        this->quarantine.noteCrash(parts, run(engine), this->now);
        this->now += 600ms;
        this->serveOthers(2);
    }

    bool refuses(const Parts& parts)
    {
        this->quarantine.update(this->now);
        return this->quarantine.refusalTime(parts, this->now).has_value();
    }

    RequestQuarantine quarantine;
    TimePoint now { 100s };
};

}

BOOST_FIXTURE_TEST_CASE(partThatCrashesThreeEnginesIsQuarantined, Fixture)
{
    for (int engine = 1; engine <= 3; ++engine) {
        BOOST_TEST(!this->refuses({ common, crashing }));
        this->crash({ common, crashing }, engine);
    }
    BOOST_TEST(this->refuses({ common, crashing }));
    BOOST_TEST(!this->refuses({ common, sound }));
    BOOST_TEST((this->quarantine.refusalTime({ crashing }, this->now) > std::optional<Duration>(9min)));
}

BOOST_FIXTURE_TEST_CASE(quarantineIsReportedOnce, Fixture)
{
    for (int engine = 1; engine <= 3; ++engine)
        this->crash({ crashing }, engine);
    BOOST_TEST((this->quarantine.update(this->now) == Parts { crashing }));
    BOOST_TEST(this->quarantine.update(this->now).empty());
}

// The repeat of a sound request that went down with an engine is served by another one.
BOOST_FIXTURE_TEST_CASE(partOfARequestThatIsServedIsCleared, Fixture)
{
    for (int engine = 1; engine <= 5; ++engine) {
        this->crash({ sound, crashing }, engine);
        this->quarantine.noteServed({ sound }, this->now);
    }
    BOOST_TEST(!this->refuses({ sound }));
    BOOST_TEST(this->refuses({ crashing }));
}

// A host, a rack or a network fails, and takes several engines with it.
BOOST_FIXTURE_TEST_CASE(enginesThatFailTogetherCountAsOneCrash, Fixture)
{
    for (int engine = 1; engine <= 12; ++engine) {
        this->quarantine.noteCrash({ sound }, run(engine), this->now);
        this->now += 2ms;
    }
    this->now += 1s;
    this->serveOthers(10);
    BOOST_TEST(!this->refuses({ sound }));
}

BOOST_FIXTURE_TEST_CASE(oneEngineThatBreaksConnectionsIsNoEvidence, Fixture)
{
    for (int time = 0; time < 10; ++time)
        this->crash({ sound }, 1);
    BOOST_TEST(!this->refuses({ sound }));
}

// The whole service fails, so that no request is served, whatever its parts.
BOOST_FIXTURE_TEST_CASE(nothingIsQuarantinedWhileNoRequestIsServed, Fixture)
{
    for (int engine = 1; engine <= 6; ++engine) {
        this->quarantine.noteCrash({ sound }, run(engine), this->now);
        this->now += 500ms;
    }
    BOOST_TEST(!this->refuses({ sound }));
    this->serveOthers(3);
    BOOST_TEST(this->refuses({ sound }));
}

// Guards against quarantining a rare part, all requests with which happened to be at engines that another part crashed.
BOOST_FIXTURE_TEST_CASE(partWhoseCrashesAnotherPartExplainsIsReleased, Fixture)
{
    for (int engine = 1; engine <= 3; ++engine)
        this->crash({ sound, crashing }, engine);
    this->crash({ crashing }, 4);
    BOOST_TEST(this->refuses({ crashing }));
    BOOST_TEST(!this->refuses({ sound }));
}

// Guards against quarantining the common first part of a class, no request of which was served while a crashing part crashed the engines.
BOOST_FIXTURE_TEST_CASE(ofPartsAtTheSameCrashesOnlyTheOneServedLeastRecentlyIsQuarantined, Fixture)
{
    this->quarantine.noteServed({ sound }, this->now);
    this->now += 1s;
    for (int engine = 1; engine <= 3; ++engine)
        this->crash({ sound, crashing }, engine);
    BOOST_TEST(this->refuses({ sound, crashing }));
    BOOST_TEST(!this->refuses({ sound }));
}

// Guards against quarantining sound parts on sites with many crashes: the daemons' evidence left out some of the crashing part's crashes.
BOOST_FIXTURE_TEST_CASE(evidenceOfManyCrashesIsPassedOnWhole, Fixture)
{
    constexpr int crashes = 12;
    RequestQuarantine other;
    for (int engine = 1; engine <= crashes; ++engine) {
        other.noteCrash(engine > crashes - 3 ? Parts { sound, crashing } : Parts { crashing }, run(engine), this->now);
        this->now += 100ms;
    }
    this->quarantine.merge(other.evidence(this->now), this->now);
    this->now += 600ms;
    this->serveOthers(3);
    BOOST_TEST(this->refuses({ crashing }));
    BOOST_TEST(!this->refuses({ sound }));
}

// The caller of a crashing request may leave before its engine crashes, so that the crash is not counted against the crashing part.
BOOST_FIXTURE_TEST_CASE(crashesThatAnotherPartExplainsAreNoEvidence, Fixture)
{
    for (int engine = 1; engine <= 4; ++engine)
        this->crash({ crashing }, engine);
    this->crash({ sound }, 5);
    for (int engine = 6; engine <= 7; ++engine)
        this->crash({ sound, crashing }, engine);
    BOOST_TEST(this->refuses({ crashing }));
    BOOST_TEST(!this->refuses({ sound }));
}

BOOST_FIXTURE_TEST_CASE(quarantineEndsAfterTenMinutes, Fixture)
{
    for (int engine = 1; engine <= 3; ++engine)
        this->crash({ crashing }, engine);
    BOOST_TEST(this->refuses({ crashing }));
    this->now += 10min;
    BOOST_TEST(!this->refuses({ crashing }));
}

// Load pattern: a site of 118 gateways, none of which sees more than one of the crashes. Their observations meet at a hub.
BOOST_FIXTURE_TEST_CASE(crashesSeenByDifferentDaemonsAddUp, Fixture)
{
    std::vector<RequestQuarantine> daemons(3);
    for (int engine = 1; engine <= 3; ++engine) {
        RequestQuarantine& daemon = daemons[static_cast<std::size_t>(engine) - 1];
        daemon.noteCrash({ common, crashing }, run(engine), this->now);
        this->now += 200ms;
        this->quarantine.merge(daemon.evidence(this->now), this->now);
    }
    this->now += 200ms;
    this->serveOthers(3);
    BOOST_TEST(!this->refuses({ crashing }));
    this->now += 100ms;
    BOOST_TEST(this->refuses({ crashing }));
    BOOST_TEST(!this->refuses({ common }));
    // A member that served nothing meanwhile relies on the hub's decision.
    daemons.front().merge(this->quarantine.evidence(this->now), this->now);
    daemons.front().update(this->now);
    BOOST_TEST(daemons.front().refusalTime({ crashing }, this->now).has_value());
}

// Guards against a daemon that starts again long after the crashes and lets a quarantined request through.
BOOST_FIXTURE_TEST_CASE(quarantineReachesADaemonThatStartsLongAfterTheCrashes, Fixture)
{
    for (int engine = 1; engine <= 3; ++engine)
        this->crash({ common, crashing }, engine);
    BOOST_TEST(this->refuses({ crashing }));
    for (const Duration later : { 31s, 5min - 1s }) {
        this->now += later;
        RequestQuarantine started;
        this->quarantine.update(this->now);
        started.merge(this->quarantine.evidence(this->now), this->now);
        for (int round = 0; round < 2; ++round) {
            started.update(this->now);
            BOOST_TEST(started.refusalTime({ crashing }, this->now).has_value());
            BOOST_TEST(!started.refusalTime({ common }, this->now).has_value());
        }
    }
}

BOOST_FIXTURE_TEST_CASE(clearingOfAPartReachesOtherDaemons, Fixture)
{
    RequestQuarantine other;
    for (int engine = 1; engine <= 3; ++engine)
        this->crash({ sound }, engine);
    other.merge(this->quarantine.evidence(this->now), this->now);
    other.noteServed({ sound }, this->now);
    BOOST_TEST(this->refuses({ sound }));
    this->now += 200ms;
    this->quarantine.merge(other.evidence(this->now), this->now);
    BOOST_TEST(!this->refuses({ sound }));
    // Evidence of before, which arrives over another way, does not count again.
    RequestQuarantine late;
    for (int engine = 1; engine <= 3; ++engine)
        late.noteCrash({ sound }, run(engine), this->now - 1s);
    this->quarantine.merge(late.evidence(this->now), this->now);
    BOOST_TEST(!this->refuses({ sound }));
}

BOOST_FIXTURE_TEST_CASE(numberOfSuspectsIsLimited, Fixture)
{
    for (int part = 0; part < 10'000; ++part)
        this->quarantine.noteCrash({ RequestTraitId("p" + std::to_string(part)) }, run(1), this->now);
    BOOST_TEST(this->quarantine.evidence(this->now).size() <= 32U);
    this->now += 30s;
    this->quarantine.update(this->now);
    BOOST_TEST(this->quarantine.evidence(this->now).empty());
}

// Load pattern: one request crashes engine after engine, each with requests of other callers that are served by another engine at once.
BOOST_FIXTURE_TEST_CASE(fingerprintOfACrashingRequestIsQuarantinedAndItsPromptIsNot, Fixture)
{
    const RequestTraitId fingerprint("request:crashing");
    const RequestTraitId bystander("request:sound");
    for (int engine = 1; engine <= 3; ++engine) {
        this->quarantine.noteCrash({ common, fingerprint }, run(engine), this->now);
        this->quarantine.noteCrash({ common, bystander }, run(engine), this->now);
        this->now += 200ms;
        this->quarantine.noteServed({ common }, this->now, bystander);
        this->serveOthers(2);
    }
    this->now += 500ms;
    BOOST_TEST(this->refuses({ common, fingerprint }));
    BOOST_TEST(!this->refuses({ common, bystander }));
}

// The crashes that each of many daemons sees come with more sound requests than one message holds.
BOOST_FIXTURE_TEST_CASE(fingerprintIsFoundAmongManyBystandersOfDifferentDaemons, Fixture)
{
    const RequestTraitId fingerprint("request:zz");
    std::vector<RequestQuarantine> daemons(3);
    for (int engine = 1; engine <= 3; ++engine) {
        RequestQuarantine& daemon = daemons[static_cast<std::size_t>(engine) - 1];
        daemon.noteCrash({ fingerprint }, run(engine), this->now);
        for (int bystander = 0; bystander < 60; ++bystander) {
            const RequestTraitId sound("request:b" + std::to_string(engine) + "-" + std::to_string(bystander));
            daemon.noteCrash({ sound }, run(engine), this->now);
            daemon.noteServed({}, this->now + 300ms, sound);
        }
        this->now += 400ms;
        this->quarantine.merge(daemon.evidence(this->now), this->now);
    }
    this->now += 500ms;
    this->serveOthers(3);
    BOOST_TEST(this->refuses({ fingerprint }));
}

// Guards against a memory that grows with each request.
BOOST_FIXTURE_TEST_CASE(servedFingerprintsDoNotDisplaceSharedTraits, Fixture)
{
    this->quarantine.noteServed({ sound }, this->now);
    for (int request = 0; request < 10'000; ++request)
        this->quarantine.noteServed({ common }, this->now, RequestTraitId("request:" + std::to_string(request)));
    for (int engine = 1; engine <= 3; ++engine)
        this->crash({ sound, crashing }, engine);
    BOOST_TEST(this->refuses({ crashing }));
    BOOST_TEST(!this->refuses({ sound }));
}

// Plain services crash within a millisecond, so that a repeat crashes the next replica at once.
BOOST_FIXTURE_TEST_CASE(crashesUnderARequestThatWasSentAfterTheOneBeforeAreSeparate, Fixture)
{
    for (int replica = 1; replica <= 3; ++replica) {
        this->now += 2ms;
        this->quarantine.noteCrash({ crashing }, run(replica), this->now, 1ms);
        this->quarantine.noteCrash({ sound }, run(replica), this->now, 100ms);
    }
    this->now += 600ms;
    this->serveOthers(3);
    BOOST_TEST(this->refuses({ crashing }));
    BOOST_TEST(!this->refuses({ sound }));
}

// Guards against sound requests at crashed engines that leave no room for the part which crashed them.
BOOST_FIXTURE_TEST_CASE(suspectsOfSoundRequestsDoNotDisplaceACrashingPart, Fixture)
{
    for (int engine = 1; engine <= 3; ++engine) {
        for (int bystander = 0; bystander < 1024; ++bystander)
            this->quarantine.noteCrash({ RequestTraitId("request:" + std::to_string(engine) + "-" + std::to_string(bystander)) }, run(engine), this->now);
        this->crash({ crashing }, engine);
    }
    BOOST_TEST(this->refuses({ crashing }));
}

BOOST_FIXTURE_TEST_CASE(oldSuspectsMakeRoomForACrashingPart, Fixture)
{
    for (int bystander = 0; bystander < 1024; ++bystander)
        this->quarantine.noteCrash({ RequestTraitId("request:old-" + std::to_string(bystander)) }, run(0), this->now);
    for (int engine = 1; engine <= 3; ++engine) {
        this->now += 100ms;
        for (int bystander = 0; bystander < 150; ++bystander)
            this->quarantine.noteCrash({ RequestTraitId("request:" + std::to_string(engine) + "-" + std::to_string(bystander)) }, run(engine), this->now);
        this->crash({ crashing }, engine);
    }
    BOOST_TEST(this->refuses({ crashing }));
}

// Guards against refusing the sound requests with a part that was never served and met only engines which another part crashed.
BOOST_FIXTURE_TEST_CASE(partsWithTheSameEvidenceAreRefusedOnlyTogether, Fixture)
{
    for (int engine = 1; engine <= 3; ++engine)
        this->crash({ sound, crashing }, engine);
    BOOST_TEST(this->refuses({ sound, crashing }));
    BOOST_TEST(!this->refuses({ common, sound }));
    BOOST_TEST(!this->refuses({ common, crashing }));
    this->crash({ common, crashing }, 4);
    BOOST_TEST(this->refuses({ common, crashing }));
    BOOST_TEST(!this->refuses({ common, sound }));
}

BOOST_FIXTURE_TEST_CASE(partIsClearedWhenARequestWithoutTheOtherOneIsServed, Fixture)
{
    for (int engine = 1; engine <= 3; ++engine)
        this->crash({ sound, crashing }, engine);
    this->quarantine.noteServed({ common, sound }, this->now);
    BOOST_TEST(this->refuses({ common, crashing }));
    BOOST_TEST(!this->refuses({ common, sound }));
}
