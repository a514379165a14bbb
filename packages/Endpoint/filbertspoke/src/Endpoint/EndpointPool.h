#ifndef FILBERTSPOKE_ENDPOINT_POOL_H
#define FILBERTSPOKE_ENDPOINT_POOL_H

#include <filbertspoke/Core>
#include <filbertspoke/Http>
#include <filbertspoke/Router>

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace filbertspoke {

/** \brief Timeouts, connection counts and limits of an EndpointPool. */
struct EndpointSettings {
    Duration statusPeriod = std::chrono::milliseconds(500); ///< from the end of one status request to the next one
    Duration statusTimeout = std::chrono::seconds(1); ///< of one status or cancel request
    Duration stepTimeout = std::chrono::seconds(30); ///< of one request that carries a frame of steps
    Duration callTimeout = std::chrono::seconds(60); ///< of one call to a plain service
    std::size_t stepConnections = 4; ///< connections to one engine, each with at most one frame in flight
    std::size_t stepsPerFrame = 64; ///< maximum number of steps in one frame
    std::size_t idleCallConnections = 4; ///< idle connections kept open to one replica
    HttpLimits limits { .socketTimeouts = socketTimeoutsFor(ConnectionKind::Endpoint) }; ///< of every connection

    bool operator==(const EndpointSettings&) const = default;
};

/** \brief Sends steps to engines and calls to plain services, and polls the status of both.
 *
 * Steps that wait for a connection to the same engine are batched in one frame. Steps and calls are never
 * retried. `sent` in StepFailed and CallFailed is false only when no byte can have been sent.
 * StepAnswered carries the receipt as the engine sent it, unchecked: the receiver of the event has to match
 * it with the outstanding steps.
 *
 * Events are passed to the sink by handlers of the io_context, never from within carryOut().
 */
class EndpointPool {
public:
    /** \brief Receives every event of the pool. */
    using Sink = std::function<void(Event)>;

    EndpointPool(boost::asio::io_context&, EndpointSettings, Sink);
    ~EndpointPool();
    EndpointPool(const EndpointPool&) = delete;
    EndpointPool& operator=(const EndpointPool&) = delete;

    /** \brief Starts to poll an endpoint and to accept steps and calls for it. A new address replaces the old one. */
    void carryOut(const WatchEndpoint&);

    /** \brief Stops polling an endpoint; steps and calls in progress still end with an event. */
    void carryOut(const UnwatchEndpoint&);

    /** \brief Queues a step; it ends with StepAnswered or StepFailed, unless it is cancelled while it waits. */
    void carryOut(const SendStep&);

    /** \brief Drops the unsent steps of a request, without an event, and sends the cancellation to the engine. */
    void carryOut(const CancelSteps&);

    /** \brief Sends a call; it ends with CallAnswered or CallFailed, unless it is cancelled. */
    void carryOut(const SendCall&);

    /** \brief Cancels a call by closing its connection; no event follows. */
    void carryOut(const CancelCall&);

private:
    class State;
    std::shared_ptr<State> state;
};

}

#endif
