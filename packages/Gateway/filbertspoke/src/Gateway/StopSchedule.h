#ifndef FILBERTSPOKE_STOP_SCHEDULE_H
#define FILBERTSPOKE_STOP_SCHEDULE_H

#include <filbertspoke/Core>

namespace filbertspoke {

/** \brief Decides until when a gateway that was told to stop takes connections and requests, and when it ends.
 *
 * Load pattern: gateways are stopped in turn while callers send requests. The load balancer goes on sending callers to a gateway until it has
 * noticed the stop, so that new requests are still served for a while. A request that comes later finds too little time for its answer.
 */
class StopSchedule {
public:
    /** \param signalledAt time of the stop signal
     * \param timeout after which the gateway is killed */
    StopSchedule(TimePoint signalledAt, Duration timeout)
        : signalledAt(signalledAt)
        , timeout(timeout)
    {
    }

    /** \returns whether a request that has been read completely at the time is forwarded; otherwise it is refused */
    bool takesRequests(TimePoint) const;
    /** \returns whether new connections are accepted at the time */
    bool acceptsConnections(TimePoint) const;
    /** \returns whether connections on which no request has arrived yet are closed at the time */
    bool closesUnusedConnections(TimePoint) const;
    /** \returns whether the requests that are in progress at the time are ended, so that their callers still learn of it */
    bool endsRequests(TimePoint) const;
    /** \returns whether the gateway must have ended at the time, whatever is in progress */
    bool isOver(TimePoint) const;

    auto operator<=>(const StopSchedule&) const = default;

private:
    TimePoint signalledAt;
    Duration timeout;
};

}

#endif
