#ifndef FILBERTSPOKE_INTERNAL_STREAM_FORWARDER_H
#define FILBERTSPOKE_INTERNAL_STREAM_FORWARDER_H

#include "../ForwardTask.h"
#include "ChainReservation.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

namespace filbertspoke::internal {

/** \brief State of the coroutine that monitors one attempt. */
struct AttemptMonitor;

/** \brief Chain that is to serve the rest of a stream, with a reservation so that streams that leave an engine together don't count on the same capacity. */
struct PlannedChain {
    PlannedChain(GatewayContext& context, LayerChain planned, ForwardMetadata metadata)
        : chain(std::move(planned))
        , metadata(std::move(metadata))
        , reservation(context, this->chain)
    {
    }

    const LayerChain chain;
    const ForwardMetadata metadata;
    const ChainReservation reservation;
};

/** \brief Who is to serve the rest of a stream: a chain, or another gateway. */
using MoveTarget = std::variant<std::shared_ptr<const PlannedChain>, SocketAddress>;

/** \brief A stream whose head has arrived, and whose events follow on the connection. */
struct BegunStream {
    UpstreamPointer connection;
    EndpointReply reply;
};

/** \brief The rest of a stream, which its target has begun to send. */
struct AcceptedMove {
    MoveTarget target;
    BegunStream begun;
};

/** \brief Why a stream is to leave its chain. */
struct MoveCause {
    std::optional<EndpointId> failedEngine; ///< empty if the chain produces no events, although none of its engines is known to have failed
    EndpointFault fault = EndpointFault::Silent; ///< of failedEngine
    std::string evidence; ///< for the log: why failedEngine counts as failed
};

/** \brief Forwards one stream, over all chains that serve it in turn, and over other gateways while this one reaches no engines. */
class StreamForwarder {
public:
    explicit StreamForwarder(ForwardTask& task)
        : task(task)
        , lastEventId(task.request.lastEventId)
    {
    }

    boost::asio::awaitable<void> run();

private:
    /** \returns the generation as it waits for a chain now */
    WaitingGeneration waitingGeneration() const;
    /** \brief Waits in the queue for capacity until a chain can serve the stream, as long as its caller can wait.
     * \returns nothing when the stream can't be served or is to be handed over */
    boost::asio::awaitable<std::optional<LayerChain>> awaitChain();
    std::optional<ForwardMetadata> metadataFor(const LayerChain&) const;
    /** \brief Serves the stream by a chain.
     * \param begun the stream, if the chain was asked for it while the last attempt was in progress
     * \returns whether the stream may go on elsewhere after a failure */
    boost::asio::awaitable<bool> serveByChain(ForwardMetadata, LayerChain, std::optional<BegunStream> begun);
    /** \brief The same by another gateway. */
    boost::asio::awaitable<bool> serveByGateway(SocketAddress target, std::optional<BegunStream> begun);
    /** \brief Goes on with a stream that its target has begun to send.
     * \returns whether the stream may go on elsewhere after a failure */
    boost::asio::awaitable<bool> serveMoved(AcceptedMove);
    boost::asio::awaitable<AttemptResult> runMonitoredAttempt(const ForwardMetadata&, const LayerChain&, std::optional<BegunStream> begun);
    /** \brief Sends the request to a chain and reads the head of its response.
     * \param timeout for the head
     * \param slot of the task, for the connection
     * \param result set if the chain does not begin the stream */
    boost::asio::awaitable<std::optional<BegunStream>> beginAtChain(const ForwardMetadata&, Duration timeout, UpstreamPointer& slot, AttemptResult& result);
    /** \brief The same for another gateway.
     * \param streaming whether only a stream may follow; otherwise any response of an endpoint counts as begun
     * \param endpointsUsed number of endpoints that may have run the request when the other gateway runs it */
    boost::asio::awaitable<std::optional<BegunStream>> beginAtGateway(SocketAddress target, bool streaming, std::uint32_t endpointsUsed, Duration timeout, UpstreamPointer& slot, AttemptResult& result);
    boost::asio::awaitable<AttemptResult> relay(BegunStream, SocketAddress address, std::optional<Duration> expectedPerEvent);
    boost::asio::awaitable<AttemptResult> relayBody(const UpstreamPointer&, std::optional<Duration> expectedPerEvent);
    boost::asio::awaitable<AttemptResult> attemptHandover(SocketAddress target, std::optional<BegunStream> begun);
    boost::asio::awaitable<std::optional<AttemptResult>> forwardEvents(std::vector<StreamEvent>);
    /** \brief Suspends the monitor for the duration, and longer while this daemon is held up. */
    static boost::asio::awaitable<void> pauseMonitor(GatewayContext&, Duration);
    boost::asio::awaitable<void> monitorAttempt(std::shared_ptr<AttemptMonitor>, ForwardMetadata);
    Duration stallDuration() const { return bootNow() - std::max(this->lastProgress, this->attemptStartedAt); }
    Duration stallLimit() const;
    /** \returns an engine of the chain to which the pause of the stream is due, as it refused another request meanwhile */
    std::optional<EndpointId> refusingEngine() const;
    /** \brief Reserves another chain for the rest of the stream and charges the retry budget, if a chain or another gateway could serve the rest now.
     * \param historyAfter as it will be when the attempt in progress has been aborted */
    std::optional<MoveTarget> planMove(const AttemptHistory& historyAfter);
    /** \brief Requests the rest of the stream elsewhere, if a chain or another gateway could serve it. The attempt at \a first stays in progress
     * until the rest has begun to arrive, because the other chain may refuse the request, and a silent engine may go on.
     * \returns whether the rest is being requested now */
    bool beginMove(std::shared_ptr<AttemptMonitor>, const EndpointId& first, MoveCause);
    /** \brief Requests the rest of the stream from the target, and aborts the attempt in progress once it has begun to arrive. */
    boost::asio::awaitable<void> moveTo(MoveTarget, std::shared_ptr<AttemptMonitor>, std::uint32_t endpointsUsed, MoveCause);
    /** \brief Requests the rest of the stream from the target.
     * \returns the stream, or nothing if the target does not serve it; the failure is recorded */
    boost::asio::awaitable<std::optional<BegunStream>> requestRest(std::shared_ptr<AttemptMonitor>, MoveTarget, std::uint32_t endpointsUsed);
    /** \returns whether the caller still waits for the rest of the stream, and the attempt has not sent it */
    bool wantsRest(const AttemptMonitor&) const;
    /** \brief Cancels a request for the rest of the stream that is not needed any more. */
    void withdrawMove(const MoveTarget&, const BegunStream&);
    /** \brief Waits until the request for the rest of the stream elsewhere has ended, after the attempt has ended with the result. */
    boost::asio::awaitable<void> awaitMove(std::shared_ptr<AttemptMonitor>, const AttemptResult&);
    /** \brief Keeps new requests away from an engine that may have failed, and lets other streams leave it. */
    void noteSuspected(const EndpointId& engine, const std::string& evidence);
    /** \returns whether a reply arrived and its caller is still there
     * \param result set to the failure if there is no reply; the connection is closed then */
    bool hasReply(const Result<EndpointReply>&, const UpstreamPointer&, AttemptResult& result) const;
    AttemptResult readFailure(const std::error_code&, const std::string& timeoutReason, const std::string& brokenReason) const;
    std::uint64_t subscribeToSuspicions(const LayerChain&, std::shared_ptr<AttemptMonitor>);
    /** \brief Records a crash of the engine at which an attempt has failed during the start of its answer. */
    void noteCrashAfter(const AttemptResult&, const ForwardMetadata&, const std::vector<EndpointRun>&, TimePoint sentAt);
    std::vector<EndpointRun> runsOf(const ForwardMetadata&) const;
    boost::asio::awaitable<void> finish();
    void reportChainHealthy();
    /** \brief Records that the stage which refused the request is fuller than was known. */
    void noteRefusedStage(const LayerChain&, const AttemptResult&);
    void logChain(const LayerChain&) const;
    void logBreakOff() const;

    ForwardTask& task;
    std::optional<std::uint64_t> lastEventId; ///< last event that the caller received
    bool headSent = false;
    bool complete = false; ///< the caller has a whole response
    bool responded = false; ///< that response is no stream
    bool firstEventSent = false;
    bool abandonedStalledChain = false; ///< the current attempt was aborted because it produced no events
    std::optional<AcceptedMove> acceptedMove; ///< for which the current attempt is aborted; the next attempt takes it
    std::optional<EndpointId> failedEngine; ///< the engine whose failure aborted the current attempt
    EndpointFault failedEngineFault = EndpointFault::Failed; ///< how failedEngine failed
    std::string failedEngineEvidence; ///< for the log: why failedEngine counts as failed
    std::optional<Duration> refusalTime; ///< for which the request is refused because it may crash endpoints
    std::vector<EndpointId> engines; ///< engines of the chain in use
    std::uint32_t eventsInAttempt = 0;
    TimePoint attemptStartedAt = bootNow();
    Duration longestGapInAttempt {}; ///< between two events of the current attempt
    Duration longestGap {}; ///< between two events that the caller received, resumed or not
    TimePoint lastProgress = bootNow(); ///< time of the last event, or of the request's arrival
};

}

#endif
