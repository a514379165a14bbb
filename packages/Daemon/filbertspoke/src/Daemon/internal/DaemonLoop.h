#ifndef FILBERTSPOKE_DAEMON_LOOP_H
#define FILBERTSPOKE_DAEMON_LOOP_H

#include "LatencyRecorder.h"
#include "OperatorPages.h"

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

/** \brief The daemon's event loop: sockets, timers and signals around one Router. */
class DaemonLoop {
public:
    explicit DaemonLoop(const Settings&);

    void run();

private:
    /** \brief Takes an event from any adapter; never from within another event. */
    void take(Event);
    void carryOut(const Actions&);
    void setTimer();
    void awaitSignal();
    void requestStop();
    void startDrainTimer();
    void finish();

    Settings settings;
    boost::asio::io_context io;
    PeerLink peers; ///< bound before the router is made, which tells peers the port
    Router router;
    Metrics metrics;
    LatencyRecorder latencies;
    OperatorPages pages;
    PlatformClient platform;
    EndpointPool endpoints;
    CallerServer callers;
    HttpServer operators;
    boost::asio::signal_set signals;
    boost::asio::steady_timer wakeTimer;
    boost::asio::steady_timer drainTimer;
    boost::asio::steady_timer finishTimer;
    std::optional<TimePoint> wakeAt;
    std::deque<Event> pending;
    bool handling = false;
    bool stopping = false;
};

}

#endif
