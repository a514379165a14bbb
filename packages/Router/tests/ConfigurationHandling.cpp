#include <filbertspoke/ConfigurationTesting>
#include <filbertspoke/Router>

#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace filbertspoke::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration pollInterval = 1s;

/** \brief A log in memory, which may be down and may forget. */
struct Log {
    void append(const std::string& stream, const std::string& payload)
    {
        std::vector<LogRecord>& records = this->streams[stream];
        records.push_back({ stream, records.size(), payload });
    }

    void append(const ConfigurationRecord& record) { this->append(std::string(configurationStream), configurationRecordJson(record)); }

    std::vector<LogRecord>& configuration() { return this->streams[std::string(configurationStream)]; }

    Event read(LogOffset from)
    {
        if (this->down)
            return ReadFailed { std::string(configurationStream) };
        const std::vector<LogRecord>& records = this->configuration();
        RecordsRead read { std::string(configurationStream), {}, this->oldest, records.size() };
        const LogOffset start = std::max(from, this->oldest);
        if (start < records.size())
            read.records.assign(records.begin() + static_cast<std::ptrdiff_t>(start), records.end());
        return read;
    }

    template <typename Kind>
    std::vector<Kind> recordsOf(std::string_view stream)
    {
        std::vector<Kind> found;
        for (const LogRecord& record : this->streams[std::string(stream)]) {
            const Result<ConfigurationRecord> parsed = parseConfigurationRecord(record.payload);
            if (const auto* match = parsed ? std::get_if<Kind>(&*parsed) : nullptr)
                found.push_back(*match);
        }
        return found;
    }

    std::size_t checkpoints() { return this->recordsOf<ConfigurationCheckpoint>(configurationStream).size(); }

    std::map<std::string, std::vector<LogRecord>> streams;
    LogOffset oldest = 0;
    bool down = false;
    bool losesAnswers = false;
};

/** \brief A Router in virtual time that follows a Log. */
struct Daemon {
    Daemon(const std::string& name, Log& log)
        : log(log)
        , self({ DaemonId(name), FailureDomainId("addis-bole"), "127.0.0.1", 7000 })
        , router({ this->self.id, this->self.failureDomain, 1, this->self.address, this->self.port }, std::hash<std::string>()(name))
    {
        this->carryOut(this->router.start(this->now));
    }

    void handle(const Event& event) { this->carryOut(this->router.handle(event, this->now)); }

    void carryOut(const Actions& actions)
    {
        for (const Action& action : actions) {
            if (const auto* append = std::get_if<AppendRecords>(&action))
                this->carryOut(*append);
            if (const auto* read = std::get_if<ReadRecords>(&action))
                this->position = read->from;
            if (const auto* message = std::get_if<SendToPeer>(&action))
                this->sent.push_back(*message);
            if (const auto* line = std::get_if<WriteLog>(&action))
                this->lines.push_back(*line);
        }
    }

    void carryOut(const AppendRecords& append)
    {
        if (!this->log.down) {
            for (const std::string& payload : append.payloads)
                this->log.append(append.stream, payload);
        }
        if (this->log.down || this->log.losesAnswers)
            this->handle(AppendFailed { append.append, true });
        else
            this->handle(RecordsAppended { append.append, 0 });
    }

    void poll()
    {
        const Event event = this->log.read(this->position);
        if (const auto* read = std::get_if<RecordsRead>(&event); read && !read->records.empty())
            this->position = read->records.back().offset + 1;
        this->handle(event);
    }

    void advance(Duration duration)
    {
        const TimePoint end = this->now.monotonic() + duration;
        while (this->now.monotonic() < end) {
            const TimePoint due = std::min({ end, this->nextPoll, this->router.nextWake().value_or(end) });
            const TimePoint wake = std::max(this->now.monotonic() + 1ms, due);
            this->now = this->now.after(wake - this->now.monotonic());
            this->handle(Tick());
            if (wake < this->nextPoll)
                continue;
            this->nextPoll = wake + pollInterval;
            this->poll();
        }
    }

    bool wrote(const std::string& event, const std::string& part) const
    {
        return std::any_of(this->lines.begin(), this->lines.end(), [&](const WriteLog& line) {
            return line.event == event && std::any_of(line.fields.begin(), line.fields.end(), [&](const auto& field) { return field.second.find(part) != std::string::npos; });
        });
    }

    std::optional<LogOffset> revision() const { return this->router.status().configurationRevision; }

    Log& log;
    ListedDaemon self;
    Now now { TimePoint(1h), WallTime(1h) };
    LogOffset position = 0;
    TimePoint nextPoll { 1h };
    std::vector<SendToPeer> sent;
    std::vector<WriteLog> lines;
    Router router;
};

void heartbeat(Daemon& to, const Daemon& from)
{
    const PeerStatus status { from.self.id, 1, from.revision().value_or(0), 0, false };
    to.handle(PeerMessageReceived { from.self.id, PeerProbe { status, from.self, 1, {} } });
}

/** \brief Delivers what one daemon sent to another about records. */
void deliverRecords(Daemon& from, Daemon& to)
{
    for (const SendToPeer& message : std::exchange(from.sent, {})) {
        if (std::holds_alternative<RecordsRequest>(message.message) || std::holds_alternative<RecordsTransfer>(message.message))
            to.handle(PeerMessageReceived { from.self.id, message.message });
    }
}

struct ApprovedLog : Log {
    ApprovedLog()
    {
        this->append(changeOf("first", answersOf("bench", 1), std::nullopt));
        this->append(changeOf("second", answersOf("bench", 2), 0));
    }
};

}

BOOST_FIXTURE_TEST_CASE(approvedChangeComesIntoForce, ApprovedLog)
{
    Daemon daemon("d1", *this);
    BOOST_TEST(!daemon.revision().has_value());
    BOOST_TEST(!daemon.router.status().ready);

    daemon.poll();

    BOOST_TEST((daemon.revision() == LogOffset(1)));
    BOOST_TEST(daemon.router.status().ready);
    BOOST_TEST(daemon.wrote("configuration-in-force", "bench"));
}

BOOST_FIXTURE_TEST_CASE(refusedChangeIsWrittenToTheLog, ApprovedLog)
{
    Daemon daemon("d1", *this);
    daemon.poll();
    this->append(changeOf("late", answersOf("bench", 3), 0));
    this->append(std::string(configurationStream), "no record");

    daemon.poll();

    BOOST_TEST((daemon.revision() == LogOffset(1)));
    BOOST_TEST(daemon.wrote("configuration-record", "refused (stale-base, revision 1 won)"));
    BOOST_TEST(daemon.wrote("configuration-record", "skipped: malformed-record"));
}

BOOST_FIXTURE_TEST_CASE(missedRecordsAreReadAgain, ApprovedLog)
{
    Daemon daemon("d1", *this);
    daemon.poll();
    this->append(changeOf("third", answersOf("bench", 3), 1));
    this->append(changeOf("fourth", answersOf("bench", 4), 2));

    daemon.handle(RecordsRead { std::string(configurationStream), { this->configuration()[3] }, 0, 4 });
    BOOST_TEST(daemon.position == 2u);
    BOOST_TEST((daemon.revision() == LogOffset(1)));
    daemon.poll();

    BOOST_TEST((daemon.revision() == LogOffset(3)));
}

BOOST_FIXTURE_TEST_CASE(freshDaemonWithThePlatformAwayTakesTheNewestFromPeers, ApprovedLog)
{
    Daemon old("d1", *this);
    old.poll();
    this->append(changeOf("third", answersOf("bench", 3), 1));
    Daemon current("d2", *this);
    current.poll();
    this->down = true;
    Daemon fresh("d3", *this);
    fresh.poll();
    heartbeat(fresh, old);
    heartbeat(fresh, current);
    heartbeat(current, fresh);

    fresh.advance(2s);
    deliverRecords(fresh, current);
    deliverRecords(current, fresh);

    BOOST_TEST((fresh.revision() == LogOffset(2)));
    BOOST_TEST(fresh.router.status().ready);
}

BOOST_FIXTURE_TEST_CASE(daemonThatReadsTheLogAsksNoPeer, ApprovedLog)
{
    Daemon daemon("d1", *this);
    daemon.poll();
    Daemon ahead("d2", *this);
    this->append(changeOf("third", answersOf("bench", 3), 1));
    ahead.poll();
    heartbeat(daemon, ahead);
    daemon.nextPoll += 1min;
    daemon.advance(10s);

    BOOST_TEST(std::none_of(daemon.sent.begin(), daemon.sent.end(), [](const SendToPeer& message) { return std::holds_alternative<RecordsRequest>(message.message); }));
}

BOOST_FIXTURE_TEST_CASE(daemonThatIsCutOffGoesOnAndNeverReverts, ApprovedLog)
{
    Daemon cutOff("d1", *this);
    cutOff.poll();
    Daemon other("d2", *this);
    this->append(changeOf("third", answersOf("bench", 3), 1));
    other.poll();
    cutOff.handle(ReadFailed { std::string(configurationStream) });
    cutOff.now = cutOff.now.after(10min);
    cutOff.handle(Tick());
    BOOST_TEST((cutOff.revision() == LogOffset(1)));

    this->oldest = 3;
    cutOff.poll();
    BOOST_TEST((cutOff.revision() == LogOffset(1)));
    BOOST_TEST(cutOff.router.status().ready);

    other.advance(5s);
    BOOST_TEST(this->checkpoints() == 1u);
    cutOff.poll();
    BOOST_TEST((cutOff.revision() == LogOffset(2)));
}

BOOST_FIXTURE_TEST_CASE(checkpointIsAppendedBeforeRetentionEnds, ApprovedLog)
{
    Daemon first("d1", *this);
    Daemon second("d2", *this);
    first.advance(5min);
    BOOST_TEST(this->checkpoints() == 0u);

    first.advance(7min);
    BOOST_TEST(this->checkpoints() == 1u);
    second.advance(5min);
    BOOST_TEST(this->checkpoints() == 1u);

    this->oldest = this->recordsOf<ConfigurationCheckpoint>(configurationStream)[0].snapshot.next;
    Daemon fresh("d3", *this);
    fresh.poll();
    BOOST_TEST((fresh.revision() == LogOffset(1)));
}

BOOST_FIXTURE_TEST_CASE(forgottenHalfOfTheLogBringsACheckpointAtOnce, ApprovedLog)
{
    Daemon daemon("d1", *this);
    daemon.poll();
    this->oldest = 1;

    daemon.advance(20s);

    BOOST_TEST(this->checkpoints() == 1u);
    this->oldest = 2;
    Daemon fresh("d2", *this);
    fresh.poll();
    BOOST_TEST((fresh.revision() == LogOffset(1)));
}

BOOST_FIXTURE_TEST_CASE(lateCheckpointOfAPausedDaemonBringsNothingBack, ApprovedLog)
{
    Daemon paused("d1", *this);
    paused.poll();
    paused.now = paused.now.after(1h);
    this->append(changeOf("third", answersOf("bench", 3), 1));
    this->oldest = 3;

    paused.handle(Tick());
    BOOST_TEST(this->checkpoints() == 1u);
    Daemon fresh("d2", *this);
    fresh.poll();

    BOOST_TEST(!fresh.revision().has_value());
    BOOST_TEST(!fresh.router.status().ready);
}

BOOST_FIXTURE_TEST_CASE(replacedLogIsReportedAndNotFollowed, ApprovedLog)
{
    Daemon daemon("d1", *this);
    daemon.poll();
    this->configuration().clear();
    this->append(changeOf("other", answersOf("bench", 9), std::nullopt));

    daemon.poll();
    daemon.position = 0;
    daemon.poll();

    BOOST_TEST((daemon.revision() == LogOffset(1)));
    BOOST_TEST(daemon.wrote("configuration-log-replaced", "1"));
}

BOOST_FIXTURE_TEST_CASE(daemonReportsWhenItTookARevision, ApprovedLog)
{
    Daemon daemon("d1", *this);
    daemon.poll();
    daemon.advance(3s);

    const std::vector<InForceReport> reports = this->recordsOf<InForceReport>(inForceStream);
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST(reports[0].daemon.str() == "d1");
    BOOST_TEST((reports[0].taken == std::vector { RevisionInForce { 1, WallTime(1h) } }));
}

BOOST_FIXTURE_TEST_CASE(reportWithoutAnAnswerIsSentAgain, ApprovedLog)
{
    Daemon daemon("d1", *this);
    daemon.poll();
    this->losesAnswers = true;
    daemon.advance(3s);
    this->losesAnswers = false;
    daemon.advance(10s);

    const std::vector<InForceReport> reports = this->recordsOf<InForceReport>(inForceStream);
    BOOST_TEST_REQUIRE(reports.size() == 2u);
    BOOST_TEST((reports[0] == reports[1]));
}

BOOST_FIXTURE_TEST_CASE(reportsOfManyDaemonsAreSpreadOut, ApprovedLog)
{
    Daemon daemon("d1", *this);
    std::vector<ListedHost> hosts(60, { daemon.self, false });
    daemon.handle(HostsListed { hosts });
    daemon.poll();
    daemon.advance(50s);
    BOOST_TEST(this->recordsOf<InForceReport>(inForceStream).empty());

    daemon.advance(20s);
    BOOST_TEST(this->recordsOf<InForceReport>(inForceStream).size() == 1u);
}
