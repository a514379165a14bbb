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

/** \brief The oracle's record: which change it asks for, if any. */
struct OracleRecord {
    std::size_t scope = 0;
    std::optional<LogOffset> base;
    bool sound = false; ///< false for every record that must have no effect
    std::uint32_t share = 0;
    bool claimsShared = false; ///< names an account that only one scope can have
};

struct OracleScope {
    LogOffset revision = 0;
    std::uint32_t share = 0;
    bool hasShared = false;
};

using OracleState = std::map<std::size_t, OracleScope>;

/** \brief The oracle: the list of all records ever appended; the state follows by going through it. */
struct Oracle {
    std::vector<OracleRecord> records;
    LogOffset oldest = 0;

    OracleState stateBefore(LogOffset end) const
    {
        OracleState state;
        for (LogOffset offset = 0; offset < end; ++offset) {
            const OracleRecord& record = this->records[offset];
            if (record.sound && record.base == revisionIn(state, record.scope) && !(record.claimsShared && otherHasShared(state, record.scope)))
                state[record.scope] = { offset, record.share, record.claimsShared };
        }
        return state;
    }

    static bool otherHasShared(const OracleState& state, std::size_t scope)
    {
        return std::any_of(state.begin(), state.end(), [&](const auto& entry) { return entry.first != scope && entry.second.hasShared; });
    }

    static std::optional<LogOffset> revisionIn(const OracleState& state, std::size_t scope)
    {
        const auto entry = state.find(scope);
        return entry == state.end() ? std::nullopt : std::optional(entry->second.revision);
    }
};

struct WrittenCheckpoint {
    LogOffset offset = 0;
    LogOffset next = 0;
};

/** \brief The log and the daemons' folds. */
struct Fleet {
    std::vector<LogRecord> log;
    LogOffset oldest = 0;
    std::array<ConfigurationFold, daemonCount> daemons;
    std::vector<ConfigurationSnapshot> paused; ///< checkpoints that their daemons have not appended yet
    std::vector<WrittenCheckpoint> checkpoints;

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

void requireAgreement(const ConfigurationFold& fold, const Oracle& oracle)
{
    const OracleState expected = oracle.stateBefore(fold.appliedTo());
    for (std::size_t scope = 0; scope < scopeNames.size(); ++scope) {
        const ScopeRevision* actual = fold.findScope(scopeNames[scope]);
        const auto wanted = expected.find(scope);
        RC_ASSERT((actual != nullptr) == (wanted != expected.end()));
        if (!actual)
            continue;
        RC_ASSERT(actual->revision == wanted->second.revision);
        const AccountId account(std::string(scopeNames[scope]) + "-bench");
        RC_ASSERT(fold.inForce()->configuration.findAccount(account)->weight == wanted->second.share);
    }
}

using Command = rc::state::Command<Oracle, Fleet>;

/** \brief Runs \a step, then holds every daemon against the oracle and against its own past. */
template <typename Step>
void runAndCompare(const Oracle& after, Fleet& fleet, Step step)
{
    std::array<LogOffset, daemonCount> before {};
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon)
        before[daemon] = fleet.daemons[daemon].appliedTo();
    step();
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
        RC_ASSERT(fleet.daemons[daemon].appliedTo() >= before[daemon]);
        requireAgreement(fleet.daemons[daemon], after);
    }
}

enum class Defect {
    None,
    Configuration,
    Hash,
    Answers,
    Approver,
};

/** \brief An operator approves a change on what was in force at \a seenAt; its append may arrive twice. */
struct Approve : Command {
    explicit Approve(const Oracle& oracle)
        : scope(*rc::gen::inRange<std::size_t>(0, scopeNames.size()))
        , seenAt(*rc::gen::oneOf(rc::gen::just<LogOffset>(oracle.records.size()), rc::gen::inRange<LogOffset>(0, oracle.records.size() + 1)))
        , share(*rc::gen::inRange<std::uint32_t>(1, 1000))
        , claimsShared(*rc::gen::arbitrary<bool>())
        , copies(*rc::gen::element(1, 1, 2))
        , defect(*rc::gen::element(Defect::None, Defect::None, Defect::None, Defect::Configuration, Defect::Hash, Defect::Answers, Defect::Approver))
    {
    }

    void checkPreconditions(const Oracle& oracle) const override { RC_PRE(this->seenAt <= oracle.records.size()); }

    std::optional<LogOffset> base(const Oracle& oracle) const
    {
        return Oracle::revisionIn(oracle.stateBefore(this->seenAt), this->scope);
    }

    void apply(Oracle& oracle) const override
    {
        const OracleRecord record { this->scope, this->base(oracle), this->defect == Defect::None, this->share, this->claimsShared };
        oracle.records.insert(oracle.records.end(), this->copies, record);
    }

    void run(const Oracle& oracle, Fleet& fleet) const override
    {
        const std::string payload = this->payload(oracle, fleet.log.size());
        runAndCompare(this->nextState(oracle), fleet, [&] {
            for (int copy = 0; copy < this->copies; ++copy)
                fleet.append(payload);
        });
    }

    std::string answers(std::uint32_t wantedShare) const
    {
        return answersOf(scopeNames[this->scope], wantedShare, this->claimsShared ? "shared" : "");
    }

    std::string payload(const Oracle& oracle, LogOffset offset) const
    {
        ConfigurationChange change = changeOf("change-" + std::to_string(offset), this->answers(this->share), this->base(oracle));
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

/** \brief Something that is no record of this version is appended. */
struct AppendNoise : Command {
    explicit AppendNoise(const Oracle&)
        : payload(*rc::gen::element<std::string>("", "{\"kind\":", "{\"kind\":\"change\",\"version\":1}", "{\"kind\":\"checkpoint\",\"version\":1,\"snapshot\":{}}", "{\"kind\":\"change\",\"version\":99}"))
    {
    }

    void apply(Oracle& oracle) const override { oracle.records.push_back({}); }

    void run(const Oracle& oracle, Fleet& fleet) const override
    {
        runAndCompare(this->nextState(oracle), fleet, [&] { fleet.append(this->payload); });
    }

    void show(std::ostream& stream) const override { stream << "AppendNoise(" << this->payload << ")"; }

    std::string payload;
};

/** \brief The log forgets its records before an offset. */
struct Truncate : Command {
    explicit Truncate(const Oracle& oracle)
        : to(*rc::gen::inRange<LogOffset>(oracle.oldest, oracle.records.size() + 1))
    {
    }

    void checkPreconditions(const Oracle& oracle) const override
    {
        RC_PRE(this->to >= oracle.oldest && this->to <= oracle.records.size());
    }

    void apply(Oracle& oracle) const override { oracle.oldest = this->to; }

    void run(const Oracle& oracle, Fleet& fleet) const override
    {
        runAndCompare(this->nextState(oracle), fleet, [&] { fleet.oldest = this->to; });
    }

    void show(std::ostream& stream) const override { stream << "Truncate(" << this->to << ")"; }

    LogOffset to;
};

/** \brief A daemon reads on. */
struct Read : Command {
    explicit Read(const Oracle&)
        : daemon(*rc::gen::inRange<std::size_t>(0, daemonCount))
        , count(*rc::gen::inRange<std::size_t>(1, maximumRead + 1))
    {
    }

    void run(const Oracle& oracle, Fleet& fleet) const override
    {
        runAndCompare(oracle, fleet, [&] { fleet.read(fleet.daemons[this->daemon], this->count); });
    }

    void show(std::ostream& stream) const override { stream << "Read(daemon " << this->daemon << ", " << this->count << ")"; }

    std::size_t daemon;
    std::size_t count;
};

/** \brief A daemon makes a checkpoint, but is paused before it appends it. */
struct MakeCheckpoint : Command {
    explicit MakeCheckpoint(const Oracle&)
        : daemon(*rc::gen::inRange<std::size_t>(0, daemonCount))
    {
    }

    void run(const Oracle&, Fleet& fleet) const override
    {
        if (const std::optional<ConfigurationSnapshot> snapshot = fleet.daemons[this->daemon].snapshot())
            fleet.paused.push_back(*snapshot);
    }

    void show(std::ostream& stream) const override { stream << "MakeCheckpoint(daemon " << this->daemon << ")"; }

    std::size_t daemon;
};

/** \brief One of the checkpoints made before is appended, maybe for the second time. */
struct AppendCheckpoint : Command {
    explicit AppendCheckpoint(const Oracle&)
        : choice(*rc::gen::inRange<std::size_t>(0, 100))
    {
    }

    void apply(Oracle& oracle) const override { oracle.records.push_back({}); }

    void run(const Oracle& oracle, Fleet& fleet) const override
    {
        runAndCompare(this->nextState(oracle), fleet, [&] {
            if (fleet.paused.empty()) {
                fleet.append("no checkpoint was made");
                return;
            }
            const ConfigurationSnapshot& snapshot = fleet.paused[this->choice % fleet.paused.size()];
            fleet.checkpoints.push_back({ fleet.log.size(), snapshot.next });
            fleet.append(configurationRecordJson(ConfigurationCheckpoint { DaemonId("daemon"), WallTime(), snapshot }));
        });
    }

    void show(std::ostream& stream) const override { stream << "AppendCheckpoint(" << this->choice << ")"; }

    std::size_t choice;
};

/** \brief A daemon takes what another one has. */
struct AdoptFromPeer : Command {
    explicit AdoptFromPeer(const Oracle&)
        : daemon(*rc::gen::inRange<std::size_t>(0, daemonCount))
        , peer(*rc::gen::inRange<std::size_t>(0, daemonCount))
    {
    }

    void run(const Oracle& oracle, Fleet& fleet) const override
    {
        runAndCompare(oracle, fleet, [&] {
            if (const std::optional<ConfigurationSnapshot> snapshot = fleet.daemons[this->peer].snapshot())
                (void)fleet.daemons[this->daemon].adopt(*snapshot);
        });
    }

    void show(std::ostream& stream) const override { stream << "AdoptFromPeer(daemon " << this->daemon << ", peer " << this->peer << ")"; }

    std::size_t daemon;
    std::size_t peer;
};

/** \brief A fresh host takes a daemon's place and reads the whole log that is left. */
struct Replace : Command {
    explicit Replace(const Oracle&)
        : daemon(*rc::gen::inRange<std::size_t>(0, daemonCount))
    {
    }

    void run(const Oracle& oracle, Fleet& fleet) const override
    {
        ConfigurationFold& fold = fleet.daemons[this->daemon];
        fold = ConfigurationFold();
        fleet.read(fold, fleet.log.size());
        const bool anchored = fleet.oldest == 0 || std::any_of(fleet.checkpoints.begin(), fleet.checkpoints.end(), [&](const WrittenCheckpoint& checkpoint) {
            return checkpoint.offset >= fleet.oldest && checkpoint.next >= fleet.oldest;
        });
        RC_ASSERT(fold.current() == (anchored || fleet.oldest == 0));
        if (fold.current())
            RC_ASSERT(fold.appliedTo() == fleet.log.size());
        else
            RC_ASSERT(!fold.inForce());
        requireAgreement(fold, oracle);
    }

    void show(std::ostream& stream) const override { stream << "Replace(daemon " << this->daemon << ")"; }

    std::size_t daemon;
};

/** \brief A fresh host takes a daemon's place and has read nothing yet. */
struct Restart : Command {
    explicit Restart(const Oracle&)
        : daemon(*rc::gen::inRange<std::size_t>(0, daemonCount))
    {
    }

    void run(const Oracle&, Fleet& fleet) const override { fleet.daemons[this->daemon] = ConfigurationFold(); }

    void show(std::ostream& stream) const override { stream << "Restart(daemon " << this->daemon << ")"; }

    std::size_t daemon;
};

}

BOOST_AUTO_TEST_CASE(everyReaderAgreesWithTheOracle)
{
    checkProperty([] {
        Fleet fleet;
        rc::state::check(Oracle(), fleet, rc::state::gen::execOneOfWithArgs<Approve, Approve, AppendNoise, Truncate, Read, Read, MakeCheckpoint, AppendCheckpoint, AdoptFromPeer, Replace, Restart>());
    });
}
