#ifndef FILBERTSPOKE_METRICS_H
#define FILBERTSPOKE_METRICS_H

#include <filbertspoke/Router>

#include <memory>
#include <string>

namespace filbertspoke {

/** \brief The counters, gauges and histograms of one daemon, and their page for scrapes. */
class Metrics {
public:
    Metrics();
    ~Metrics();

    /** \brief Adds one to the counter that the action names. */
    void count(const CountMetric&);

    /** \brief Notes the time from a completion's arrival to its first token. */
    void observeFirstToken(Duration);
    /** \brief Notes the time between two tokens of one completion. */
    void observeTokenGap(Duration);
    /** \brief Notes the time from the arrival of a call to its answer. */
    void observeCall(Duration);

    /** \brief Notes the retries that this daemon has saved up for the service.
     * \param gateways among which the service's reserve of retries is shared; 0 while unknown */
    void observeRetryBudget(const ServiceId&, double saved, std::size_t gateways);

    /** \brief Takes the daemon's state into the gauges. */
    void update(const RouterStatus&);

    /** \returns the page in the text format of Prometheus */
    std::string page() const;

private:
    class State;
    std::unique_ptr<State> state;
};

}

#endif
