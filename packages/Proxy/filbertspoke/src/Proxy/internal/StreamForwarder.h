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
#include <vector>

namespace filbertspoke::internal {

/** \brief State of the coroutine that monitors one attempt. */
struct AttemptMonitor;

/** \brief Chain to which a stream moves, with a reservation so that streams that leave an engine together don't count on the same capacity. */
struct PlannedMove {
    PlannedMove(GatewayContext& context, LayerChain planned)
        : chain(std::move(planned))
        , reservation(context, this->chain)
    {
    }

    const LayerChain chain;
    const ChainReservation reservation;
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
    /** \brief Ends the reservation of the chain for which the last attempt was aborted.
     * \returns that chain, or nothing if there is none or one of its engines is not registered any more */
    std::optional<LayerChain> takePlannedChain();
    boost::asio::awaitable<std::optional<LayerChain>> awaitChain();
    std::optional<ForwardMetadata> metadataFor(const LayerChain&) const;
    boost::asio::awaitable<AttemptResult> runMonitoredAttempt(const ForwardMetadata&, const LayerChain&);
    boost::asio::awaitable<AttemptResult> attempt(const ForwardMetadata&, const LayerChain&);
    boost::asio::awaitable<AttemptResult> relayBody(const UpstreamPointer&, std::optional<Duration> expectedPerEvent);
    boost::asio::awaitable<AttemptResult> attemptHandover(SocketAddress target);
    boost::asio::awaitable<std::optional<AttemptResult>> forwardEvents(std::vector<StreamEvent>);
    boost::asio::awaitable<void> monitorAttempt(std::shared_ptr<AttemptMonitor>, ForwardMetadata);
    Duration stallDuration() const { return bootNow() - std::max(this->lastProgress, this->attemptStartedAt); }
    Duration stallLimit() const;
    /** \brief Reserves another chain for the rest of the stream and charges the retry budget, if a chain or another gateway could serve the rest now.
     * \returns whether the attempt at \a first may be aborted because of \a blamed */
    bool prepareMove(const EndpointId& first, const EndpointId& blamed);
    bool abandonStalledChain(const EndpointId& first);
    /** \brief Keeps new requests away from an engine that the stream can't leave, and lets other streams leave it. */
    void noteSuspected(const EndpointId& engine, const std::string& evidence);
    AttemptResult readFailure(const std::error_code&, const std::string& timeoutReason, const std::string& brokenReason) const;
    std::uint64_t subscribeToSuspicions(const LayerChain&);
    boost::asio::awaitable<void> finish(bool complete);
    void reportChainHealthy();
    void logChain(const LayerChain&) const;
    void logBreakOff() const;

    ForwardTask& task;
    std::optional<std::uint64_t> lastEventId; ///< last event that the caller received
    bool headSent = false;
    bool responded = false; ///< the caller has a whole response that is no stream
    bool firstEventSent = false;
    bool abandonedStalledChain = false; ///< the current attempt was aborted because it produced no events
    std::optional<PlannedMove> plannedMove; ///< for which the current attempt is aborted; the next attempt takes it
    std::optional<EndpointId> failedEngine; ///< the engine whose failure aborted the current attempt
    EndpointFault failedEngineFault = EndpointFault::Failed; ///< how failedEngine failed
    std::string failedEngineEvidence; ///< for the log: why failedEngine counts as failed
    std::optional<Duration> refusalTime; ///< for which the request is refused because it may crash endpoints
    std::vector<EndpointId> engines; ///< engines of the chain in use
    std::uint32_t eventsInAttempt = 0;
    TimePoint attemptStartedAt = bootNow();
    TimePoint lastProgress = bootNow(); ///< time of the last event, or of the request's arrival
};

}

#endif
