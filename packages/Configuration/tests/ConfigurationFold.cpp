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

// A log with three changes of one team at the offsets 0 to 2, each based on the one before.
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

double benchWeight(const ConfigurationFold& fold)
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
    BOOST_TEST(benchWeight(fold) == 4);
    BOOST_TEST(fold.next() == 1u);
}

BOOST_AUTO_TEST_CASE(firstOfConcurrentChangesWins)
{
    ConfigurationFold fold;
    fold.apply(recordAt(0, changeOf("first", answersOf("bench", 1), std::nullopt)));
    fold.apply(recordAt(1, changeOf("hanna's", answersOf("bench", 2), 0)));

    const auto refused = outcomeOf<ChangeRefused>(fold.apply(recordAt(2, changeOf("abebe's", answersOf("bench", 3), 0))));

    BOOST_TEST((refused.reason == ErrorCode::StaleBase));
    BOOST_TEST((refused.winner == LogOffset(1)));
    BOOST_TEST(benchWeight(fold) == 2);
}

BOOST_AUTO_TEST_CASE(repeatedAppendIsRefusedWithItsRevision)
{
    ConfigurationFold fold;
    const ConfigurationChange change = changeOf("first", answersOf("bench", 1), std::nullopt);
    fold.apply(recordAt(0, change));

    const auto refused = outcomeOf<ChangeRefused>(fold.apply(recordAt(1, change)));

    BOOST_TEST((refused.reason == ErrorCode::ChangeRepeated));
    BOOST_TEST((refused.winner == LogOffset(0)));
    BOOST_TEST(fold.inForce()->revision == 0u);
}

BOOST_AUTO_TEST_CASE(changesThatDoNotMatchTheirAnswersAreRefused)
{
    const ConfigurationChange valid = changeOf("first", answersOf("bench", 1), std::nullopt);
    ConfigurationChange configuration = valid;
    configuration.configuration = changeOf("first", answersOf("bench", 900), std::nullopt).configuration;
    ConfigurationChange configurationAndHash = configuration;
    configurationAndHash.approval.hash = changeOf("first", answersOf("bench", 900), std::nullopt).approval.hash;
    ConfigurationChange answers = valid;
    answers.approval.answers = answersOf("bench", 900);
    ConfigurationChange noAnswers = valid;
    noAnswers.approval.answers = "bench gets more";
    ConfigurationChange otherScope = valid;
    otherScope.approval.scope = "other";

    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, configuration))) == ErrorCode::HashMismatch));
    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, configurationAndHash))) == ErrorCode::HashMismatch));
    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, answers))) == ErrorCode::HashMismatch));
    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, noAnswers))) == ErrorCode::MalformedQuestionnaire));
    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, otherScope))) == ErrorCode::MalformedQuestionnaire));
}

BOOST_AUTO_TEST_CASE(changeRequiresSeparateApprover)
{
    ConfigurationChange selfApproved = changeOf("first", answersOf("bench", 1), std::nullopt);
    selfApproved.approval.approver = selfApproved.approval.author;
    ConfigurationChange noApprover = changeOf("first", answersOf("bench", 1), std::nullopt);
    noApprover.approval.approver.clear();

    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, selfApproved))) == ErrorCode::ApprovalMissing));
    BOOST_TEST((refusalOf(ConfigurationFold().apply(recordAt(0, noApprover))) == ErrorCode::ApprovalMissing));
}

BOOST_AUTO_TEST_CASE(malformedRecordsAreSkipped)
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

BOOST_AUTO_TEST_CASE(newerRecordPreventsSnapshot)
{
    ThreeChanges log;
    ConfigurationFold fold = log.foldOf(2);

    const auto skipped = outcomeOf<RecordSkipped>(fold.apply({ "configuration", 2, "{\"kind\":\"change\",\"version\":2,\"new\":true}" }));

    BOOST_TEST((skipped.reason == ErrorCode::UnsupportedVersion));
    BOOST_TEST(benchWeight(fold) == 2);
    BOOST_TEST(!fold.snapshot().has_value());

    ConfigurationChange newerGenerator = changeOf("third", answersOf("bench", 3), 1);
    newerGenerator.approval.generator = generatorVersion + 1;
    ConfigurationFold other = log.foldOf(2);
    BOOST_TEST((outcomeOf<RecordSkipped>(other.apply(recordAt(2, newerGenerator))).reason == ErrorCode::UnsupportedVersion));
    BOOST_TEST(!other.snapshot().has_value());
}

BOOST_AUTO_TEST_CASE(scopesChangeIndependentlyButNamesAreUnique)
{
    ConfigurationFold fold;
    fold.apply(recordAt(0, changeOf("first", answersOf("bench", 1), std::nullopt)));
    fold.apply(recordAt(1, changeOf("other", answersOf("office", 5), std::nullopt)));
    fold.apply(recordAt(2, changeOf("second", answersOf("bench", 2), 0)));

    const ConfigurationChange conflicting = changeOf("third", answersOf("counter", 1, "office-bench"), std::nullopt);
    BOOST_TEST((refusalOf(fold.apply(recordAt(3, conflicting))) == ErrorCode::NameTaken));
    BOOST_TEST(fold.inForce()->revision == 2u);
    BOOST_TEST(benchWeight(fold) == 2);
    BOOST_TEST(fold.inForce()->configuration.findAccount(AccountId("office-bench"))->weight == 5);
}

BOOST_AUTO_TEST_CASE(newReaderRestoresFromCheckpointAfterGap)
{
    const ThreeChanges log;
    ConfigurationFold reader;
    reader.truncate(2);
    BOOST_TEST(!reader.current());

    reader.apply(log.records[2]);
    BOOST_TEST(!reader.inForce());
    const std::vector<AuditEntry> entries = reader.apply(log.checkpointAt(3, log.foldOf(2)));

    BOOST_TEST(reader.current());
    BOOST_TEST(reader.inForce()->revision == 2u);
    BOOST_TEST(benchWeight(reader) == 3);
    BOOST_TEST_REQUIRE(entries.size() == 2u);
    BOOST_TEST(std::holds_alternative<ChangeAccepted>(entries[0].outcome));
    BOOST_TEST((std::get<CheckpointRead>(entries[1].outcome).use == CheckpointUse::Adopted));
}

// A checkpoint that is appended late covers fewer records than the log has dropped. A new reader that restored its state
// from it would put a replaced configuration into force again.
BOOST_AUTO_TEST_CASE(newReaderIgnoresCheckpointBeforeGap)
{
    const ThreeChanges log;
    const ConfigurationFold delayedWriter = log.foldOf(1);
    ConfigurationFold reader;
    reader.truncate(3);

    BOOST_TEST(reader.apply(log.checkpointAt(3, delayedWriter)).empty());
    BOOST_TEST(!reader.inForce());

    const std::vector<AuditEntry> entries = reader.apply(log.checkpointAt(4, log.foldOf(3)));
    BOOST_TEST(benchWeight(reader) == 3);
    BOOST_TEST((std::get<CheckpointRead>(entries[0].outcome).use == CheckpointUse::NotNeeded));
}

BOOST_AUTO_TEST_CASE(gapKeepsStateUntilCheckpointCoversIt)
{
    const ThreeChanges log;
    ConfigurationFold reader = log.foldOf(1);
    reader.truncate(3);
    BOOST_TEST(!reader.current());
    BOOST_TEST(benchWeight(reader) == 1);
    BOOST_TEST(reader.snapshot()->next == 1u);

    reader.apply(recordAt(3, changeOf("fourth", answersOf("bench", 4), 2)));
    BOOST_TEST(benchWeight(reader) == 1);
    reader.apply(log.checkpointAt(4, log.foldOf(3)));
    BOOST_TEST(benchWeight(reader) == 4);
}

// The change at offset 1 was refused because the account "shared" belonged to another scope, which released it at offset
// 2. Applied again after the checkpoint, the change would be accepted.
BOOST_AUTO_TEST_CASE(recordsBeforeCheckpointAreNotAppliedAgain)
{
    const std::vector<LogRecord> records = {
        recordAt(0, changeOf("first", answersOf("bench", 1, "shared"), std::nullopt)),
        recordAt(1, changeOf("taking", answersOf("office", 1, "shared"), std::nullopt)),
        recordAt(2, changeOf("second", answersOf("bench", 1), 0)),
    };
    ConfigurationFold complete;
    for (const LogRecord& record : records)
        complete.apply(record);
    ConfigurationFold reader;
    reader.truncate(1);
    reader.apply(records[1]);
    reader.apply(records[2]);
    reader.apply(recordAt(3, ConfigurationCheckpoint { DaemonId("x"), WallTime(), complete.snapshot().value() }));

    BOOST_TEST((reader.snapshot()->scopes == complete.snapshot()->scopes));
    BOOST_TEST(!reader.findScope("office"));
}

BOOST_AUTO_TEST_CASE(missingRecordOpensGap)
{
    const ThreeChanges log;
    ConfigurationFold fold = log.foldOf(1);

    fold.apply(log.records[2]);

    BOOST_TEST(!fold.current());
    BOOST_TEST(benchWeight(fold) == 1);
}

BOOST_AUTO_TEST_CASE(logMayStartAtAnyOffset)
{
    ConfigurationFold fold;
    fold.truncate(0);
    fold.apply(recordAt(1, changeOf("first", answersOf("bench", 1), std::nullopt)));

    BOOST_TEST(fold.current());
    BOOST_TEST(fold.inForce()->revision == 1u);
}

BOOST_AUTO_TEST_CASE(inconsistentCheckpointIsIgnoredAndAudited)
{
    const ThreeChanges log;
    ConfigurationSnapshot forged = log.foldOf(3).snapshot().value();
    forged.scopes[0].approval = changeOf("third", answersOf("bench", 900), 1).approval;
    ConfigurationSnapshot future = log.foldOf(3).snapshot().value();
    future.next = 9;
    ConfigurationFold fold = log.foldOf(3);

    const auto disagrees = outcomeOf<CheckpointRead>(fold.apply(recordAt(3, ConfigurationCheckpoint { DaemonId("x"), WallTime(), forged })));
    const auto invalid = outcomeOf<CheckpointRead>(fold.apply(recordAt(4, ConfigurationCheckpoint { DaemonId("x"), WallTime(), future })));
    const auto agrees = outcomeOf<CheckpointRead>(fold.apply(log.checkpointAt(5, log.foldOf(2))));

    BOOST_TEST((disagrees.use == CheckpointUse::Disagrees));
    BOOST_TEST((invalid.use == CheckpointUse::Invalid));
    BOOST_TEST((agrees.use == CheckpointUse::NotNeeded));
    BOOST_TEST(benchWeight(fold) == 3);
}

BOOST_AUTO_TEST_CASE(newDaemonAdoptsNewerPeerSnapshot)
{
    const ThreeChanges log;
    ConfigurationFold reader;

    BOOST_TEST(reader.adopt(log.foldOf(3).snapshot().value()).has_value());
    BOOST_TEST(benchWeight(reader) == 3);
    BOOST_TEST(reader.next() == 3u);
    BOOST_TEST((reader.adopt(log.foldOf(2).snapshot().value()).error() == ErrorCode::StaleBase));
    BOOST_TEST(benchWeight(reader) == 3);
}

BOOST_AUTO_TEST_CASE(peerSnapshotBeforeGapIsRejected)
{
    const ThreeChanges log;
    ConfigurationFold reader;
    reader.truncate(3);

    BOOST_TEST((reader.adopt(log.foldOf(2).snapshot().value()).error() == ErrorCode::LogTruncated));
    BOOST_TEST(!reader.inForce());
    BOOST_TEST(reader.adopt(log.foldOf(3).snapshot().value()).has_value());
    BOOST_TEST(benchWeight(reader) == 3);
}

BOOST_AUTO_TEST_CASE(snapshotWithoutAChangeInForceIsRejected)
{
    const ThreeChanges log;
    ConfigurationSnapshot older = log.foldOf(2).snapshot().value();
    older.next = 7;
    ConfigurationFold fold = log.foldOf(3);

    BOOST_TEST((fold.adopt(older).error() == ErrorCode::StaleBase));
    fold.truncate(7);
    fold.apply(recordAt(7, ConfigurationCheckpoint { DaemonId("x"), WallTime(), older }));
    BOOST_TEST(benchWeight(fold) == 3);
}

BOOST_AUTO_TEST_CASE(recordsAndSnapshotsRoundTrip)
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
