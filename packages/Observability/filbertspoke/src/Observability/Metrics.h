#ifndef FILBERTSPOKE_METRICS_H
#define FILBERTSPOKE_METRICS_H

#include <filbertspoke/Router>

#include <memory>
#include <string>

namespace filbertspoke {

/** \brief The Prometheus metrics of one daemon. */
class Metrics {
public:
    Metrics();
    ~Metrics();

    /** \brief Increments the counter given by the metric name and label of the action. */
    void count(const CountMetric&);

    /** \brief Records the time from the arrival of a completion request to its first token. */
    void observeFirstToken(Duration);
    /** \brief Records the time between two consecutive tokens of one completion. */
    void observeTokenGap(Duration);
    /** \brief Records the time from the arrival of a service call to its response. */
    void observeCall(Duration);
    /** \brief Records the time for which decoding a configuration occupied the daemon. */
    void observeConfiguration(Duration);

    /** \brief Sets the gauges of the retry budget.
     * \param available number of retries that this daemon may make for the service now
     * \param gateways number of gateways that share the retry budget of the service; 0 while unknown */
    void observeRetryBudget(const ServiceId&, double available, std::size_t gateways);

    /** \brief Sets the remaining gauges to the state of the daemon. */
    void update(const RouterStatus&);

    /** \returns all metrics in the Prometheus text format */
    std::string page() const;

private:
    class State;
    std::unique_ptr<State> state;
};

}

#endif
