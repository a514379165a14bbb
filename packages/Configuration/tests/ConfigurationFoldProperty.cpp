#include <filbertspoke/ConfigurationTesting>

#include <filbertspoke/Testing>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck/state.h>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace filbertspoke::testing;

namespace {

constexpr std::size_t daemonCount = 3;
constexpr std::array scopeNames = { "bench", "office" };
constexpr std::size_t maximumRead = 4;

/** \brief A record of the reference model: the change that it requests, if any. */
struct ReferenceRecord {
    std::size_t scope = 0;
    std::optional<LogOffset> base;
    bool valid = false; ///< false for a record that must have no effect
    std::uint32_t share = 0;
    bool claimsShared = false; ///< contains the account "shared", which only one scope can have
};

struct ReferenceScope {
    LogOffset revision = 0;
    std::uint32_t share = 0;
    bool hasShared = false;
};

using ReferenceState = std::map<std::size_t, ReferenceScope>;

/** \brief The reference model: all records ever appended, from which each state is computed anew. */
struct ReferenceModel {
    std::vector<ReferenceRecord> records;
    LogOffset oldest = 0;

    ReferenceState stateBefore(LogOffset end) const
    {
        ReferenceState state;
        for (LogOffset offset = 0; offset < end; ++offset) {
            const ReferenceRecord& record = this->records[offset];
            if (record.valid && record.base == revisionIn(state, record.scope) && !(record.claimsShared && otherHasShared(state, record.scope)))
                state[record.scope] = { offset, record.share, record.claimsShared };
        }
        return state;
    }

    static bool otherHasShared(const ReferenceState& state, std::size_t scope)
    {
        return std::any_of(state.begin(), state.end(), [&](const auto& entry) { return entry.first != scope && entry.second.hasShared; });
    }

    static std::optional<LogOffset> revisionIn(const ReferenceState& state, std::size_t scope)
    {
        const auto entry = state.find(scope);
        return entry == state.end() ? std::nullopt : std::optional(entry->second.revision);
    }
};

struct AppendedCheckpoint {
    LogOffset offset = 0;
    LogOffset next = 0;
};

/** \brief The system under test: the log and the folds of the daemons. */
struct Cluster {
    std::vector<LogRecord> log;
    LogOffset oldest = 0;
    std::array<ConfigurationFold, daemonCount> daemons;
    std::vector<ConfigurationSnapshot> madeSnapshots; ///< contents of the checkpoints that daemons have made; each may be appended late and more than once
    std::vector<AppendedCheckpoint> checkpoints;

    void append(std::string payload)
    {
        this->log.push_back({ std::string(configurationStream), this->log.size(), std::move(payload) });
    }

    void read(ConfigurationFold& fold, std::size_t count) const
    {
        fold.truncate(this->oldest);
        for (; count > 0 && fold.next() < this->log.size(); --count)
            fold.apply(this->log[fold.next()]);
    }
};

void requireEqualState(const ConfigurationFold& fold, const ReferenceModel& reference)
{
    const ReferenceState expected = reference.stateBefore(fold.appliedTo());
    for (std::size_t scope = 0; scope < scopeNames.size(); ++scope) {
        const ScopeRevision* actual = fold.findScope(scopeNames[scope]);
        const auto expectedScope = expected.find(scope);
        RC_ASSERT((actual != nullptr) == (expectedScope != expected.end()));
        if (!actual)
            continue;
        RC_ASSERT(actual->revision == expectedScope->second.revision);
        const AccountId account(std::string(scopeNames[scope]) + "-bench");
        RC_ASSERT(fold.inForce()->configuration.findAccount(account)->weight == expectedScope->second.share);
    }
}

using Command = rc::state::Command<ReferenceModel, Cluster>;

/** \brief Runs \a step, then checks that every daemon agrees with the reference model and has not gone back. */
template <typename Step>
void runAndCompare(const ReferenceModel& after, Cluster& cluster, Step step)
{
    std::array<LogOffset, daemonCount> before {};
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon)
        before[daemon] = cluster.daemons[daemon].appliedTo();
    step();
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
        RC_ASSERT(cluster.daemons[daemon].appliedTo() >= before[daemon]);
        requireEqualState(cluster.daemons[daemon], after);
    }
}

enum class Defect {
    None,
    Configuration,
    Hash,
    Answers,
    Approver,
};

/** \brief An operator approves a change based on the state at \a seenAt; the change may be appended twice. */
struct Approve : Command {
    explicit Approve(const ReferenceModel& reference)
        : scope(*rc::gen::inRange<std::size_t>(0, scopeNames.size()))
        , seenAt(*rc::gen::oneOf(rc::gen::just<LogOffset>(reference.records.size()), rc::gen::inRange<LogOffset>(0, reference.records.size() + 1)))
        , share(*rc::gen::inRange<std::uint32_t>(1, 1000))
        , claimsShared(*rc::gen::arbitrary<bool>())
        , copies(*rc::gen::element(1, 1, 2))
        , defect(*rc::gen::element(Defect::None, Defect::None, Defect::None, Defect::Configuration, Defect::Hash, Defect::Answers, Defect::Approver))
    {
    }

    void checkPreconditions(const ReferenceModel& reference) const override { RC_PRE(this->seenAt <= reference.records.size()); }

    std::optional<LogOffset> base(const ReferenceModel& reference) const
    {
        return ReferenceModel::revisionIn(reference.stateBefore(this->seenAt), this->scope);
    }

    void apply(ReferenceModel& reference) const override
    {
        const ReferenceRecord record { this->scope, this->base(reference), this->defect == Defect::None, this->share, this->claimsShared };
        reference.records.insert(reference.records.end(), this->copies, record);
    }

    void run(const ReferenceModel& reference, Cluster& cluster) const override
    {
        const std::string payload = this->payload(reference, cluster.log.size());
        runAndCompare(this->nextState(reference), cluster, [&] {
            for (int copy = 0; copy < this->copies; ++copy)
                cluster.append(payload);
        });
    }

    std::string answers(std::uint32_t answerShare) const
    {
        return answersOf(scopeNames[this->scope], answerShare, this->claimsShared ? "shared" : "");
    }

    std::string payload(const ReferenceModel& reference, LogOffset offset) const
    {
        ConfigurationChange change = changeOf("change-" + std::to_string(offset), this->answers(this->share), this->base(reference));
        if (this->defect == Defect::Configuration)
            change.configuration.insert(change.configuration.size() - 1, " ");
        if (this->defect == Defect::Hash)
            change.approval.hash[0] = change.approval.hash[0] == '0' ? '1' : '0';
        if (this->defect == Defect::Answers)
            change.approval.answers = this->answers(this->share + 1);
        if (this->defect == Defect::Approver)
            change.approval.approver = change.approval.author;
        return configurationRecordJson(change);
    }

    void show(std::ostream& stream) const override
    {
        stream << "Approve(scope " << this->scope << ", seen at " << this->seenAt << ", share " << this->share << ", claims shared " << this->claimsShared << ", copies " << this->copies << ", defect " << static_cast<int>(this->defect) << ")";
    }

    std::size_t scope;
    LogOffset seenAt;
    std::uint32_t share;
    bool claimsShared;
    int copies;
    Defect defect;
};

/** \brief A malformed record or one of a newer version is appended. */
struct AppendInvalidRecord : Command {
    explicit AppendInvalidRecord(const ReferenceModel&)
        : payload(*rc::gen::element<std::string>("", "{\"kind\":", "{\"kind\":\"change\",\"version\":1}", "{\"kind\":\"checkpoint\",\"version\":1,\"snapshot\":{}}", "{\"kind\":\"change\",\"version\":99}"))
    {
    }

    void apply(ReferenceModel& reference) const override { reference.records.push_back({}); }

    void run(const ReferenceModel& reference, Cluster& cluster) const override
    {
        runAndCompare(this->nextState(reference), cluster, [&] { cluster.append(this->payload); });
    }

    void show(std::ostream& stream) const override { stream << "AppendInvalidRecord(" << this->payload << ")"; }

    std::string payload;
};

/** \brief The log drops its records before an offset. */
struct Truncate : Command {
    explicit Truncate(const ReferenceModel& reference)
        : oldestKept(*rc::gen::inRange<LogOffset>(reference.oldest, reference.records.size() + 1))
    {
    }

    void checkPreconditions(const ReferenceModel& reference) const override
    {
        RC_PRE(this->oldestKept >= reference.oldest && this->oldestKept <= reference.records.size());
    }

    void apply(ReferenceModel& reference) const override { reference.oldest = this->oldestKept; }

    void run(const ReferenceModel& reference, Cluster& cluster) const override
    {
        runAndCompare(this->nextState(reference), cluster, [&] { cluster.oldest = this->oldestKept; });
    }

    void show(std::ostream& stream) const override { stream << "Truncate(" << this->oldestKept << ")"; }

    LogOffset oldestKept;
};

/** \brief A daemon reads the next records. */
struct Read : Command {
    explicit Read(const ReferenceModel&)
        : daemon(*rc::gen::inRange<std::size_t>(0, daemonCount))
        , count(*rc::gen::inRange<std::size_t>(1, maximumRead + 1))
    {
    }

    void run(const ReferenceModel& reference, Cluster& cluster) const override
    {
        runAndCompare(reference, cluster, [&] { cluster.read(cluster.daemons[this->daemon], this->count); });
    }

    void show(std::ostream& stream) const override { stream << "Read(daemon " << this->daemon << ", " << this->count << ")"; }

    std::size_t daemon;
    std::size_t count;
};

/** \brief A daemon makes a checkpoint but does not append it yet. */
struct MakeCheckpoint : Command {
    explicit MakeCheckpoint(const ReferenceModel&)
        : daemon(*rc::gen::inRange<std::size_t>(0, daemonCount))
    {
    }

    void run(const ReferenceModel&, Cluster& cluster) const override
    {
        if (const std::optional<ConfigurationSnapshot> snapshot = cluster.daemons[this->daemon].snapshot())
            cluster.madeSnapshots.push_back(*snapshot);
    }

    void show(std::ostream& stream) const override { stream << "MakeCheckpoint(daemon " << this->daemon << ")"; }

    std::size_t daemon;
};

/** \brief A checkpoint that was made earlier is appended, possibly again. */
struct AppendCheckpoint : Command {
    explicit AppendCheckpoint(const ReferenceModel&)
        : choice(*rc::gen::inRange<std::size_t>(0, 100))
    {
    }

    void apply(ReferenceModel& reference) const override { reference.records.push_back({}); }

    void run(const ReferenceModel& reference, Cluster& cluster) const override
    {
        runAndCompare(this->nextState(reference), cluster, [&] {
            if (cluster.madeSnapshots.empty()) {
                cluster.append("no checkpoint was made");
                return;
            }
            const ConfigurationSnapshot& snapshot = cluster.madeSnapshots[this->choice % cluster.madeSnapshots.size()];
            cluster.checkpoints.push_back({ cluster.log.size(), snapshot.next });
            cluster.append(configurationRecordJson(ConfigurationCheckpoint { DaemonId("daemon"), WallTime(), snapshot }));
        });
    }

    void show(std::ostream& stream) const override { stream << "AppendCheckpoint(" << this->choice << ")"; }

    std::size_t choice;
};

/** \brief A daemon adopts another daemon's snapshot. */
struct AdoptFromPeer : Command {
    explicit AdoptFromPeer(const ReferenceModel&)
        : daemon(*rc::gen::inRange<std::size_t>(0, daemonCount))
        , peer(*rc::gen::inRange<std::size_t>(0, daemonCount))
    {
    }

    void run(const ReferenceModel& reference, Cluster& cluster) const override
    {
        runAndCompare(reference, cluster, [&] {
            if (const std::optional<ConfigurationSnapshot> snapshot = cluster.daemons[this->peer].snapshot())
                (void)cluster.daemons[this->daemon].adopt(*snapshot);
        });
    }

    void show(std::ostream& stream) const override { stream << "AdoptFromPeer(daemon " << this->daemon << ", peer " << this->peer << ")"; }

    std::size_t daemon;
    std::size_t peer;
};

/** \brief A new daemon replaces one and reads all records that the log still has. */
struct ReplaceAndRead : Command {
    explicit ReplaceAndRead(const ReferenceModel&)
        : daemon(*rc::gen::inRange<std::size_t>(0, daemonCount))
    {
    }

    void run(const ReferenceModel& reference, Cluster& cluster) const override
    {
        ConfigurationFold& fold = cluster.daemons[this->daemon];
        fold = ConfigurationFold();
        cluster.read(fold, cluster.log.size());
        const bool recoverable = cluster.oldest == 0 || std::any_of(cluster.checkpoints.begin(), cluster.checkpoints.end(), [&](const AppendedCheckpoint& checkpoint) {
            return checkpoint.offset >= cluster.oldest && checkpoint.next >= cluster.oldest;
        });
        RC_ASSERT(fold.current() == (recoverable || cluster.oldest == 0));
        if (fold.current())
            RC_ASSERT(fold.appliedTo() == cluster.log.size());
        else
            RC_ASSERT(!fold.inForce());
        requireEqualState(fold, reference);
    }

    void show(std::ostream& stream) const override { stream << "ReplaceAndRead(daemon " << this->daemon << ")"; }

    std::size_t daemon;
};

/** \brief A new daemon replaces one and has not read anything yet. */
struct Replace : Command {
    explicit Replace(const ReferenceModel&)
        : daemon(*rc::gen::inRange<std::size_t>(0, daemonCount))
    {
    }

    void run(const ReferenceModel&, Cluster& cluster) const override { cluster.daemons[this->daemon] = ConfigurationFold(); }

    void show(std::ostream& stream) const override { stream << "Replace(daemon " << this->daemon << ")"; }

    std::size_t daemon;
};

}

BOOST_AUTO_TEST_CASE(everyReaderAgreesWithReferenceModel)
{
    checkProperty([] {
        Cluster cluster;
        rc::state::check(ReferenceModel(), cluster, rc::state::gen::execOneOfWithArgs<Approve, Approve, AppendInvalidRecord, Truncate, Read, Read, MakeCheckpoint, AppendCheckpoint, AdoptFromPeer, ReplaceAndRead, Replace>());
    });
}
