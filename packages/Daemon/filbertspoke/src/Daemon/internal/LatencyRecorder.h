#ifndef FILBERTSPOKE_LATENCY_RECORDER_H
#define FILBERTSPOKE_LATENCY_RECORDER_H

#include <filbertspoke/Observability>
#include <filbertspoke/Router>

#include <unordered_map>

namespace filbertspoke::internal {

/** \brief Turns what passes between callers and router into the latency histograms. */
class LatencyRecorder {
public:
    explicit LatencyRecorder(Metrics& metrics)
        : metrics(metrics)
    {
    }

    /** \brief Notes when a request arrives, and forgets one whose caller is gone. */
    void observe(const Event&, TimePoint now);
    /** \brief Notes tokens and answers, and forgets a request at its end. */
    void observe(const Action&, TimePoint now);

private:
    struct Progress {
        TimePoint last; ///< the arrival, or the latest token
        bool hasToken = false;
    };

    void token(const RequestId&, TimePoint now);

    Metrics& metrics;
    std::unordered_map<RequestId, Progress> requests;
};

}

#endif
