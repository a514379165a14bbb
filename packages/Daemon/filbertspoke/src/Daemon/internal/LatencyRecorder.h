#ifndef FILBERTSPOKE_LATENCY_RECORDER_H
#define FILBERTSPOKE_LATENCY_RECORDER_H

#include <filbertspoke/Observability>
#include <filbertspoke/Router>

#include <unordered_map>

namespace filbertspoke::internal {

/** \brief Derives the latency histograms from the events of callers and the actions of the router. */
class LatencyRecorder {
public:
    explicit LatencyRecorder(Metrics& metrics)
        : metrics(metrics)
    {
    }

    /** \brief Records the arrival time of a request; stops tracking a request whose caller disconnected. */
    void observe(const Event&, TimePoint now);
    /** \brief Records tokens and responses; stops tracking a request once it is completed, answered or refused. */
    void observe(const Action&, TimePoint now);

private:
    struct Progress {
        TimePoint previous; ///< time of the arrival, or of the latest token
        bool hasToken = false;
    };

    void observeToken(const RequestId&, TimePoint now);

    Metrics& metrics;
    std::unordered_map<RequestId, Progress> openRequests;
};

}

#endif
