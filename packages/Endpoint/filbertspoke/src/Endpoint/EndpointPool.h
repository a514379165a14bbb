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

/** \brief How an EndpointPool talks to endpoints. */
struct EndpointSettings {
    Duration statusPeriod = std::chrono::milliseconds(500); ///< from one status answer to the next request
    Duration statusTimeout = std::chrono::seconds(1);
    Duration stepTimeout = std::chrono::seconds(30); ///< of one frame of steps
    Duration callTimeout = std::chrono::seconds(60);
    std::size_t stepConnections = 4; ///< frames in flight to one engine
    std::size_t stepsPerFrame = 64;
    std::size_t idleCallConnections = 4; ///< kept open to one replica
    HttpLimits limits;

    bool operator==(const EndpointSettings&) const = default;
};

/** \brief Sends steps to engines and calls to plain services, and polls their status.
 *
 * Steps for one engine that wait for a connection travel together in one frame. Nothing is ever
 * sent twice. `sent` in StepFailed and CallFailed is false only when no byte can have left.
 * A receipt is passed on as the engine wrote it: whoever takes StepAnswered compares it with the
 * steps that are outstanding.
 *
 * Events reach the sink from the io_context, never from within carryOut().
 */
class EndpointPool {
public:
    using Sink = std::function<void(Event)>;

    EndpointPool(boost::asio::io_context&, EndpointSettings, Sink);
    ~EndpointPool();
    EndpointPool(const EndpointPool&) = delete;
    EndpointPool& operator=(const EndpointPool&) = delete;

    void carryOut(const WatchEndpoint&);

    /** \brief Stops polling; steps and calls in progress still end with an event. */
    void carryOut(const UnwatchEndpoint&);

    void carryOut(const SendStep&);

    /** \brief Drops the request's steps that have not left, without an event, and tells the engine. */
    void carryOut(const CancelSteps&);

    void carryOut(const SendCall&);

    /** \brief Closes the call's connection; no event follows. */
    void carryOut(const CancelCall&);

private:
    class State;
    std::shared_ptr<State> state;
};

}

#endif
