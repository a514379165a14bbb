#ifndef FILBERTSPOKE_CALL_HANDLER_H
#define FILBERTSPOKE_CALL_HANDLER_H

#include "CallRunner.h"
#include "Event.h"
#include "RouterContext.h"

#include <filbertspoke/Idempotency>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace filbertspoke::internal {

/** \brief Routes calls to plain services to one of their endpoints and returns the answers.
 *
 * Idempotent calls are sent to a replica directly. All others run at most once per idempotency key. A key
 * chosen by the caller is recorded in the platform's log; a bound key, which a daemon generated, is recorded
 * only in that daemon's memory, and calls with a bound key of another daemon are forwarded to that daemon.
 * \sa docs/design/at-most-once.md
 */
class CallHandler {
public:
    explicit CallHandler(RouterContext& context);

    void start(const Now&, Actions&);
    void handle(const CallReceived&, const Now&, Actions&);
    void handle(const KeyRequested&, const Now&, Actions&);
    void handle(const CallAnswered&, const Now&, Actions&);
    void handle(const CallFailed&, const Now&, Actions&);
    void handle(const CallerDisconnected&, const Now&, Actions&);
    void handle(const RecordsRead&, const Now&, Actions&);
    void handle(const ReadFailed&, const Now&, Actions&);
    void handle(const RecordsAppended&, const Now&, Actions&);
    void handle(const AppendFailed&, const Now&, Actions&);
    void handle(const PeerMessageReceived&, const Now&, Actions&);
    void handle(const PeerSendFailed&, const Now&, Actions&);
    void handle(const Tick&, const Now&, Actions&);
    std::optional<TimePoint> nextWake() const;

    /** \returns the number of unanswered calls, of running actions and, while the platform is reachable, of actions
     * whose outcome isn't in the log yet */
    std::size_t inProgress() const;
    /** \brief Refuses all remaining calls when a graceful stop is cut short. */
    void abandon(const Now&, Actions&);

private:
    static constexpr Duration retryDelay = std::chrono::seconds(1); ///< Retry-After of refusals

    // The peer and its request to which the answer of a forwarded call is sent.
    struct Origin {
        DaemonId peer;
        RequestId request;
    };

    struct Call {
        ServiceCall call;
        CallPolicy policy;
        TimePoint deadline;
        std::string digest;
        std::optional<std::string> boundKey; ///< returned to the caller with the answer
        std::optional<Origin> origin;
        std::optional<DaemonId> forwardedTo;
    };

    // The run of the action of one key. It continues when the requests that wait for its outcome end.
    struct KeyedRun {
        std::string key;
        TimePoint timeout;
    };

    std::optional<Refusal> check(const CallReceived&) const;
    std::optional<Refusal> checkAccount(const AccountId&, Ran notRun) const;
    static std::string digestOf(const AccountId&, const ServiceCall&);
    Call& add(const CallReceived&, CallPolicy, TimePoint deadline);
    void runIdempotent(const RequestId&, const Now&, Actions&);
    void runKeyed(const CallReceived&, const Now&, Actions&);
    void runBound(const RequestId&, const BoundKey&, const Now&, Actions&);
    void forward(const RequestId&, const CallReceived&, const BoundKey&, const Now&, Actions&);
    void acceptForwarded(const DaemonId& from, const ForwardedCall&, const Now&, Actions&);
    void acceptAnswer(const DaemonId& from, const ForwardedAnswer&, const Now&, Actions&);

    void carryOut(const LedgerOutputs&, const Now&, Actions&);
    void carryOut(const AppendKeyRecords&, const Now&, Actions&);
    void carryOut(const ReadKeyRecords&, const Now&, Actions&);
    void carryOut(const RunAction&, const Now&, Actions&);
    void carryOut(const ReturnOutcome&, const Now&, Actions&);
    void carryOut(const RefuseKeyedRequest&, const Now&, Actions&);

    void finish(const RequestId&, const CallResult&, const Now&, Actions&);
    void recordOutcome(const std::string& key, const CallResult&, const Now&, Actions&);
    void answer(const RequestId&, const ServiceAnswer&, const Now&, Actions&);
    void refuse(const RequestId&, const Refusal&, const Now&, Actions&);
    void expireCalls(const Now&, Actions&);
    void expireRuns(const Now&, Actions&);

    RouterContext& context;
    CallRunner runner;
    KeyLedger ledger;
    BoundKeyTable boundKeys;
    std::map<RequestId, Call> calls;
    std::map<RequestId, KeyedRun> runs; ///< by the request that started the run
    std::map<std::uint64_t, std::uint64_t> ledgerAppends; ///< AppendRecords::append to the ledger's own append number
    DeadlineQueue<RequestId> deadlines; ///< of idempotent and forwarded calls
    DeadlineQueue<RequestId> runTimeouts;
};

}

#endif
