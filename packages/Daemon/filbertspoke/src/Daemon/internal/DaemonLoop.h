#ifndef FILBERTSPOKE_DAEMON_LOOP_H
#define FILBERTSPOKE_DAEMON_LOOP_H

#include "LatencyRecorder.h"
#include "OperatorHttpHandler.h"

#include <filbertspoke/Caller>
#include <filbertspoke/Configuration>
#include <filbertspoke/Endpoint>
#include <filbertspoke/Http>
#include <filbertspoke/Observability>
#include <filbertspoke/Peer>
#include <filbertspoke/Platform>
#include <filbertspoke/Router>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <optional>

namespace filbertspoke::internal {

/** \brief Event loop of the daemon: connects sockets, timers and signals to one Router. */
class DaemonLoop {
public:
    /** \brief Binds every listening address in the settings.
     * \throws std::system_error if an address cannot be bound */
    explicit DaemonLoop(const Settings&);

    /** \brief Serves requests until shutdown is complete; see Daemon::run(). */
    void run();

private:
    /** \brief Passes an event to the router and executes the resulting actions.
     *
     * Events raised while another one is being handled are queued, so the router is never entered recursively. */
    void dispatch(Event);
    void execute(const Actions&);
    void updateWakeTimer();
    void wake();
    void waitForSignal();
    void requestStop();
    void startDrainTimer();
    void scheduleExit();

    Settings settings;
    boost::asio::io_context io;
    PeerLink peers; ///< declared before the router, which advertises the bound port to peers
    Router router;
    Metrics metrics;
    LatencyRecorder latencies;
    OperatorHttpHandler operatorHandler;
    PlatformClient platform;
    EndpointPool endpoints;
    CallerServer callers;
    HttpServer operators;
    boost::asio::signal_set signals;
    boost::asio::steady_timer wakeTimer;
    boost::asio::steady_timer drainTimer;
    boost::asio::steady_timer exitTimer;
    std::optional<TimePoint> wakeTime;
    std::optional<TimePoint> readUntil; ///< set after a hold-up: until then, what arrived meanwhile is read and no time limit ends
    std::deque<Event> pendingEvents;
    bool dispatching = false;
    bool shuttingDown = false;
};

}

#endif
