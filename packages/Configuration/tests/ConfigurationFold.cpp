#include <filbertspoke/ConfigurationTesting>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace filbertspoke::testing;

namespace {

template <typename Outcome>
Outcome outcomeOf(const std::vector<AuditEntry>& entries)
{
    BOOST_TEST_REQUIRE(entries.size() == 1u);
    BOOST_TEST_REQUIRE(std::holds_alternative<Outcome>(entries[0].outcome), describe(entries[0]));
    return std::get<Outcome>(entries[0].outcome);
}

ErrorCode refusalOf(const std::vector<AuditEntry>& entries)
{
    return outcomeOf<ChangeRefused>(entries).reason;
}

// A log of three changes of one team; the third is at offset 2 and in force.
struct ThreeChanges {
    ThreeChanges()
    {
        this->records.push_back(recordAt(0, changeOf("first", answersOf("bench", 1), std::nullopt)));
        this->records.push_back(recordAt(1, changeOf("second", answersOf("bench", 2), 0)));
        this->records.push_back(recordAt(2, changeOf("third", answersOf("bench", 3), 1)));
    }

    ConfigurationFold foldOf(std::size_t count) const
    {
        ConfigurationFold fold;
        for (std::size_t index = 0; index < count; ++index)
            fold.apply(this->records[index]);
        return fold;
    }

    LogRecord checkpointAt(LogOffset offset, const ConfigurationFold& writer) const
    {
        return recordAt(offset, ConfigurationCheckpoint { DaemonId("addis-bole-1"), WallTime(), writer.snapshot().value() });
    }

    std::vector<LogRecord> records;
};

double shareIn(const ConfigurationFold& fold)
{
    return fold.inForce()->configuration.findAccount(AccountId("bench-bench"))->weight;
}

}

BOOST_AUTO_TEST_CASE(acceptedChangeComesIntoForce)
{
    ConfigurationFold fold;
    BOOST_TEST(!fold.inForce());

    const auto accepted = outcomeOf<ChangeAccepted>(fold.apply(recordAt(0, changeOf("first", answersOf("bench", 4), std::nullopt))));

    BOOST_TEST(accepted.approval.author == "hanna");
    BOOST_TEST(fold.inForce()->revision == 0u);
    BOOST_TEST(shareIn(fold) == 4);
    BOOST_TEST(fold.next() == 1u);
}

BOOST_AUTO_TEST_CASE(firstOfRacingChangesWinsAndTheOtherIsToldWhich)
{
    ConfigurationFold fold;
    fold.apply(recordAt(0, changeOf("first", answersOf("bench", 1), std::nullopt)));
    fold.apply(recordAt(1, changeOf("hanna's", answersOf("bench", 2), 0)));

    const auto refused = outcomeOf<ChangeRefused>(fold.apply(recordAt(2, changeOf("abebe's", answersOf("bench", 3), 0))));

    BOOST_TEST((refused.reason == ErrorCode::StaleBase));
    BOOST_TEST((refused.winner == LogOffset(1)));
    BOOST_TEST(shareIn(fold) == 2);
}

BOOST_AUTO_TEST_CASE(repeatedAppendIsToldThatItStands)
{
    ConfigurationFold fold;
    const ConfigurationChange change = changeOf("first", answersOf("bench", 1), std::nullopt);
    fold.apply(recordAt(0, change));

    const auto refused = outcomeOf<ChangeRefused>(fold.apply(recordAt(1, change)));

    BOOST_TEST((refused.reason == ErrorCode::ChangeRepeated));
    BOOST_TEST((refused.winner == LogOffset(0)));
    BOOST_TEST(fold.inForce()->revision == 0u);
}

BOOST_AUTO_TEST_CASE(tamperedAndHandWrittenChangesAreRefused)
{
    const ConfigurationChange sound = changeOf("first", answersOf("bench", 1), std::nullopt);
    ConfigurationChange configuration = sound;
    configuration.configuration = changeOf("first", answersOf("bench", 900), std::nullopt).configuration;
    ConfigurationChange configurationAndHash = configuration;
    configurationAndHash.approval.hash = changeOf("first", answersOf("bench", 900), std::nullopt).approval.hash;
    ConfigurationChange answers = sound;
    answers.approval.answers = answersOf("bench", 900);
    ConfigurationChange noAnswers = sound;
    noAnswers.approval.answers = "bench gets more";
    ConfigurationChange otherScope = sound;
    otherScope.approval.scope = "other";

    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, configuration))) == ErrorCode::HashMismatch));
    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, configurationAndHash))) == ErrorCode::HashMismatch));
    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, answers))) == ErrorCode::HashMismatch));
    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, noAnswers))) == ErrorCode::MalformedQuestionnaire));
    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, otherScope))) == ErrorCode::MalformedQuestionnaire));
}

BOOST_AUTO_TEST_CASE(changeNeedsASecondPerson)
{
    ConfigurationChange alone = changeOf("first", answersOf("bench", 1), std::nullopt);
    alone.approval.approver = alone.approval.author;
    ConfigurationChange nobody = changeOf("first", answersOf("bench", 1), std::nullopt);
    nobody.approval.approver.clear();

    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, alone))) == ErrorCode::ApprovalMissing));
    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, nobody))) == ErrorCode::ApprovalMissing));
}

BOOST_AUTO_TEST_CASE(unreadableRecordsAreSkipped)
{
    ConfigurationFold fold;
    LogOffset offset = 0;
    for (const std::string payload : { "", "{", "[]", "{\"kind\":\"change\"}", "{\"kind\":\"change\",\"version\":1}", "{\"kind\":\"poem\",\"version\":1}", "{\"kind\":\"change\",\"version\":-1}" }) {
        const auto skipped = outcomeOf<RecordSkipped>(fold.apply({ "configuration", offset++, payload }));
        BOOST_TEST((skipped.reason == ErrorCode::MalformedRecord), payload);
    }
    fold.apply(recordAt(offset, changeOf("first", answersOf("bench", 1), std::nullopt)));

    BOOST_TEST(fold.inForce()->revision == offset);
    BOOST_TEST(fold.snapshot().has_value());
}

BOOST_AUTO_TEST_CASE(readerOfAnOlderVersionGivesNoSnapshot)
{
    ThreeChanges log;
    ConfigurationFold fold = log.foldOf(2);

    const auto skipped = outcomeOf<RecordSkipped>(fold.apply({ "configuration", 2, "{\"kind\":\"change\",\"version\":2,\"new\":true}" }));

    BOOST_TEST((skipped.reason == ErrorCode::UnsupportedVersion));
    BOOST_TEST(shareIn(fold) == 2);
    BOOST_TEST(!fold.snapshot().has_value());

    ConfigurationChange newerGenerator = changeOf("third", answersOf("bench", 3), 1);
    newerGenerator.approval.generator = generatorVersion + 1;
    ConfigurationFold other = log.foldOf(2);
    BOOST_TEST((outcomeOf<RecordSkipped>(other.apply(recordAt(2, newerGenerator))).reason == ErrorCode::UnsupportedVersion));
    BOOST_TEST(!other.snapshot().has_value());
}

BOOST_AUTO_TEST_CASE(scopesChangeApartButShareNames)
{
    ConfigurationFold fold;
    fold.apply(recordAt(0, changeOf("first", answersOf("bench", 1), std::nullopt)));
    fold.apply(recordAt(1, changeOf("other", answersOf("office", 5), std::nullopt)));
    fold.apply(recordAt(2, changeOf("second", answersOf("bench", 2), 0)));

    const ConfigurationChange taking = changeOf("third", answersOf("counter", 1, "office-bench"), std::nullopt);
    BOOST_TEST((refusalOf(fold.apply(recordAt(3, taking))) == ErrorCode::NameTaken));
    BOOST_TEST(fold.inForce()->revision == 2u);
    BOOST_TEST(shareIn(fold) == 2);
    BOOST_TEST(fold.inForce()->configuration.findAccount(AccountId("office-bench"))->weight == 5);
}

BOOST_AUTO_TEST_CASE(freshReaderStartsFromACheckpointThatCounts)
{
    const ThreeChanges log;
    ConfigurationFold fresh;
    fresh.truncate(2);
    BOOST_TEST(!fresh.current());

    fresh.apply(log.records[2]);
    BOOST_TEST(!fresh.inForce());
    const std::vector<AuditEntry> entries = fresh.apply(log.checkpointAt(3, log.foldOf(2)));

    BOOST_TEST(fresh.current());
    BOOST_TEST(fresh.inForce()->revision == 2u);
    BOOST_TEST(shareIn(fresh) == 3);
    BOOST_TEST_REQUIRE(entries.size() == 2u);
    BOOST_TEST(std::holds_alternative<ChangeAccepted>(entries[0].outcome));
    BOOST_TEST((std::get<CheckpointRead>(entries[1].outcome).use == CheckpointUse::Adopted));
}

BOOST_AUTO_TEST_CASE(lateCheckpointBringsNothingBackOnAFreshHost)
{
    const ThreeChanges log;
    const ConfigurationFold paused = log.foldOf(1);
    ConfigurationFold fresh;
    fresh.truncate(3);

    BOOST_TEST(fresh.apply(log.checkpointAt(3, paused)).empty());
    BOOST_TEST(!fresh.inForce());

    const std::vector<AuditEntry> entries = fresh.apply(log.checkpointAt(4, log.foldOf(3)));
    BOOST_TEST(shareIn(fresh) == 3);
    BOOST_TEST((std::get<CheckpointRead>(entries[0].outcome).use == CheckpointUse::NotNeeded));
}

BOOST_AUTO_TEST_CASE(gapKeepsWhatIsInForceUntilACheckpointCounts)
{
    const ThreeChanges log;
    ConfigurationFold cutOff = log.foldOf(1);
    cutOff.truncate(3);
    BOOST_TEST(!cutOff.current());
    BOOST_TEST(shareIn(cutOff) == 1);
    BOOST_TEST(cutOff.snapshot()->next == 1u);

    cutOff.apply(recordAt(3, changeOf("fourth", answersOf("bench", 4), 2)));
    BOOST_TEST(shareIn(cutOff) == 1);
    cutOff.apply(log.checkpointAt(4, log.foldOf(3)));
    BOOST_TEST(shareIn(cutOff) == 4);
}

BOOST_AUTO_TEST_CASE(recordsBeforeTheCheckpointAreNotTakenAgain)
{
    const std::vector<LogRecord> records = {
        recordAt(0, changeOf("first", answersOf("bench", 1, "shared"), std::nullopt)),
        recordAt(1, changeOf("taking", answersOf("office", 1, "shared"), std::nullopt)),
        recordAt(2, changeOf("second", answersOf("bench", 1), 0)),
    };
    ConfigurationFold whole;
    for (const LogRecord& record : records)
        whole.apply(record);
    ConfigurationFold fresh;
    fresh.truncate(1);
    fresh.apply(records[1]);
    fresh.apply(records[2]);
    fresh.apply(recordAt(3, ConfigurationCheckpoint { DaemonId("x"), WallTime(), whole.snapshot().value() }));

    BOOST_TEST((fresh.snapshot()->scopes == whole.snapshot()->scopes));
    BOOST_TEST(!fresh.findScope("office"));
}

BOOST_AUTO_TEST_CASE(recordAfterAMissingOneIsAGap)
{
    const ThreeChanges log;
    ConfigurationFold fold = log.foldOf(1);

    fold.apply(log.records[2]);

    BOOST_TEST(!fold.current());
    BOOST_TEST(shareIn(fold) == 1);
}

BOOST_AUTO_TEST_CASE(logMayStartAtAnyOffset)
{
    ConfigurationFold fold;
    fold.truncate(0);
    fold.apply(recordAt(1, changeOf("first", answersOf("bench", 1), std::nullopt)));

    BOOST_TEST(fold.current());
    BOOST_TEST(fold.inForce()->revision == 1u);
}

BOOST_AUTO_TEST_CASE(checkpointThatDisagreesIsIgnoredAndAudited)
{
    const ThreeChanges log;
    ConfigurationSnapshot invented = log.foldOf(3).snapshot().value();
    invented.scopes[0].approval = changeOf("third", answersOf("bench", 900), 1).approval;
    ConfigurationSnapshot future = log.foldOf(3).snapshot().value();
    future.next = 9;
    ConfigurationFold fold = log.foldOf(3);

    const auto disagrees = outcomeOf<CheckpointRead>(fold.apply(recordAt(3, ConfigurationCheckpoint { DaemonId("x"), WallTime(), invented })));
    const auto invalid = outcomeOf<CheckpointRead>(fold.apply(recordAt(4, ConfigurationCheckpoint { DaemonId("x"), WallTime(), future })));
    const auto agrees = outcomeOf<CheckpointRead>(fold.apply(log.checkpointAt(5, log.foldOf(2))));

    BOOST_TEST((disagrees.use == CheckpointUse::Disagrees));
    BOOST_TEST((invalid.use == CheckpointUse::Invalid));
    BOOST_TEST((agrees.use == CheckpointUse::NotNeeded));
    BOOST_TEST(shareIn(fold) == 3);
}

BOOST_AUTO_TEST_CASE(freshDaemonTakesTheNewestFromAPeer)
{
    const ThreeChanges log;
    ConfigurationFold fresh;

    BOOST_TEST(fresh.adopt(log.foldOf(3).snapshot().value()).has_value());
    BOOST_TEST(shareIn(fresh) == 3);
    BOOST_TEST(fresh.next() == 3u);
    BOOST_TEST((fresh.adopt(log.foldOf(2).snapshot().value()).error() == ErrorCode::StaleBase));
    BOOST_TEST(shareIn(fresh) == 3);
}

BOOST_AUTO_TEST_CASE(peerBehindTheTruncatedLogIsNotFollowed)
{
    const ThreeChanges log;
    ConfigurationFold fresh;
    fresh.truncate(3);

    BOOST_TEST((fresh.adopt(log.foldOf(2).snapshot().value()).error() == ErrorCode::LogTruncated));
    BOOST_TEST(!fresh.inForce());
    BOOST_TEST(fresh.adopt(log.foldOf(3).snapshot().value()).has_value());
    BOOST_TEST(shareIn(fresh) == 3);
}

BOOST_AUTO_TEST_CASE(snapshotWithoutAChangeInForceIsRefused)
{
    const ThreeChanges log;
    ConfigurationSnapshot older = log.foldOf(2).snapshot().value();
    older.next = 7;
    ConfigurationFold fold = log.foldOf(3);

    BOOST_TEST((fold.adopt(older).error() == ErrorCode::StaleBase));
    fold.truncate(7);
    fold.apply(recordAt(7, ConfigurationCheckpoint { DaemonId("x"), WallTime(), older }));
    BOOST_TEST(shareIn(fold) == 3);
}

BOOST_AUTO_TEST_CASE(recordsAndSnapshotsAreReadBack)
{
    const ThreeChanges log;
    const ConfigurationSnapshot snapshot = log.foldOf(3).snapshot().value();
    const std::vector<ConfigurationRecord> records = {
        changeOf("first", answersOf("bench", 1), std::nullopt),
        changeOf("second", answersOf("bench", 1), 7),
        ConfigurationCheckpoint { DaemonId("addis-bole-1"), WallTime(Duration(5)), snapshot },
        InForceReport { DaemonId("addis-bole-1"), { { 7, WallTime(Duration(8)) } } },
    };

    for (const ConfigurationRecord& record : records)
        BOOST_TEST((parseConfigurationRecord(configurationRecordJson(record)).value() == record));
    BOOST_TEST((parseSnapshot(snapshotJson(snapshot)).value() == snapshot));
}
