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

/** \brief Takes calls to plain services to one of their endpoints, and the answers back.
 *
 * Idempotent calls go straight to a replica. The others are run at most once: by a key of the
 * caller's through the log, or by a key that a daemon made from that daemon's memory. A bound key of
 * another daemon is forwarded to it.
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

    /** \returns calls without an answer, and actions that run or whose fate the log lacks */
    std::size_t inProgress() const;
    /** \brief Refuses what is left when a stop can wait no longer. */
    void abandon(const Now&, Actions&);

private:
    static constexpr Duration retryDelay = std::chrono::seconds(1); ///< what refused callers are told

    // A call that a peer forwarded is answered to the peer.
    struct Origin {
        DaemonId peer;
        RequestId request;
    };

    struct Call {
        ServiceCall call;
        CallPolicy policy;
        TimePoint deadline;
        std::string digest;
        std::optional<std::string> boundKey; ///< goes back with the answer
        std::optional<Origin> origin;
        std::optional<DaemonId> forwardedTo;
    };

    // The run of one key's action. Its requests come and go; the run goes on without them.
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

    void finish(const RequestId&, const CallEnd&, const Now&, Actions&);
    void settle(const std::string& key, const CallEnd&, const Now&, Actions&);
    void answer(const RequestId&, const ServiceAnswer&, const Now&, Actions&);
    void refuse(const RequestId&, const Refusal&, const Now&, Actions&);
    void expireCalls(const Now&, Actions&);
    void expireRuns(const Now&, Actions&);

    RouterContext& context;
    CallRunner runner;
    KeyLedger ledger;
    BoundKeyTable boundKeys;
    std::map<RequestId, Call> calls;
    std::map<RequestId, KeyedRun> runs; ///< by the request whose call was sent
    std::map<std::uint64_t, std::uint64_t> ledgerAppends; ///< the ledger's number of each of our appends
    DeadlineQueue<RequestId> deadlines; ///< of idempotent and forwarded calls
    DeadlineQueue<RequestId> runTimeouts;
};

}

#endif
