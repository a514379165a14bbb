#ifndef FILBERTSPOKE_LEDGER_SIMULATION_H
#define FILBERTSPOKE_LEDGER_SIMULATION_H

#include "LedgerEvent.h"

#include <filbertspoke/Idempotency>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace filbertspoke::testing {

constexpr std::size_t daemonCount = 3;

// Ground truth of one key, independent of what the ledgers report.
struct KeyGroundTruth {
    unsigned executions = 0; // of the action by the service
    unsigned unresolvedSends = 0; // sends that are not proven to have had no effect
    unsigned requestCount = 0;
    std::string outcome;
    std::string digest; // of the request whose action ran
};

// A request that has not been answered.
struct PendingRequest {
    std::string key;
    std::string digest;
    std::size_t daemon = 0;
    bool firstUse = false;
    unsigned earlierRequests = 0;
    TimePoint deadline;
};

/** \brief Simulation of three ledgers with skewed clocks, one log and one service.
 *
 * Every answer of a ledger is checked against the ground truth when it is given.
 */
class LedgerSimulation {
public:
    LedgerSimulation()
    {
        for (std::size_t i = 0; i < daemonCount; ++i)
            this->start(i);
    }

    /** \brief Performs an event. */
    void apply(const LedgerEvent&);
    /** \brief Ends all faults and checks that every pending request is then answered. */
    void recover();

private:
    struct Process {
        std::unique_ptr<KeyLedger> ledger;
        std::uint64_t incarnation = 0;
        bool paused = false;
    };
    struct LogMessage {
        std::size_t daemon;
        std::uint64_t incarnation;
        std::variant<AppendKeyRecords, ReadKeyRecords> request;
    };
    struct Send {
        std::size_t daemon;
        std::uint64_t incarnation;
        std::string key;
        std::string digest;
    };

    // The clocks of the daemons differ by less than maximumClockSkew.
    Now nowOf(std::size_t daemon) const;
    bool isAlive(std::size_t daemon, std::uint64_t incarnation) const { return this->processes[daemon].incarnation == incarnation; }
    void start(std::size_t daemon);
    void crash(std::size_t daemon);
    void advanceTime(Duration time);
    void sendRequest(std::size_t daemon, const LedgerEvent&);
    void disconnectCaller(const LedgerEvent&);
    void processLogMessage(LedgerEventKind, unsigned index);
    void completeLogMessage(const LogMessage&);
    void failLogMessage(const LogMessage&, bool mayBeStored);
    void processSend(LedgerEventKind, unsigned index);
    void handle(std::size_t daemon, const LedgerOutputs&);
    void checkRefusal(const PendingRequest&, const Refusal&) const;
    void checkOutcome(const PendingRequest&, const StoredOutcome&) const;
    std::string chooseKey(unsigned selector);

    Now now { TimePoint(std::chrono::hours(100)), WallTime(std::chrono::hours(400000)) };
    std::array<Process, daemonCount> processes;
    std::uint64_t lastIncarnation = 0;
    std::vector<std::string> log;
    LogOffset oldest = 0; // offset of the oldest record that the log retains
    bool outage = false;
    std::vector<LogMessage> logMessages; // requests to the log without a response
    std::deque<std::vector<std::string>> delayedAppends;
    std::vector<Send> inFlightSends;
    std::vector<std::string> keys;
    std::map<std::string, KeyGroundTruth> groundTruths;
    std::map<RequestId, PendingRequest> pendingRequests;
    std::set<RequestId> startedRequests; // requests named in a RunAction
    unsigned requestsSent = 0;
    unsigned outcomesProduced = 0;
};

}

#endif
