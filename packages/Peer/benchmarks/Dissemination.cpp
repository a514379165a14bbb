// Measures in virtual time how long a configuration change takes to reach every daemon, and the traffic
// of load reports against the error of the reported load.
#include "HeartbeatSimulation.h"

#include <cmath>
#include <cstdio>
#include <random>

using namespace filbertspoke;
using namespace filbertspoke::benchmarks;

namespace {

/** \returns seconds until \a percent of the daemons have the revision */
double secondsUntilAdopted(Simulation& simulation, LogOffset revision, std::size_t percent)
{
    constexpr Duration step = 10ms;
    constexpr Duration limit = 60s;
    Duration passed {};
    while (passed < limit && 100 * simulation.countAt(revision) < percent * simulation.size()) {
        simulation.run(step);
        passed += step;
    }
    return std::chrono::duration<double>(passed).count();
}

void reportConfiguration(unsigned size, bool announces, std::size_t fanout)
{
    PeerDirectorySettings settings;
    settings.announcementFanout = fanout;
    Simulation simulation(size, settings);
    simulation.run(20s);
    simulation.resetCounts();
    simulation.run(20s);
    const double quietMessages = static_cast<double>(simulation.messages) / 20;
    simulation.resetCounts();
    simulation.publish(0, 1, announces);
    const double half = secondsUntilAdopted(simulation, 1, 50);
    const double all = half + secondsUntilAdopted(simulation, 1, 100);
    const double extra = (static_cast<double>(simulation.messages) - quietMessages * all) / static_cast<double>(size);
    std::printf("%8u %18s %10.2f %10.2f %16.1f\n", size, announces ? ("announce to " + std::to_string(fanout)).c_str() : "heartbeats", half, all, extra);
}

/** Number of steps of an engine, which varies about a mean as requests arrive and depart. */
class RandomLoad {
public:
    void step(Random& random, double seconds)
    {
        const double mean = 32;
        const double changesPerSecond = 40;
        std::poisson_distribution<int> arrivals(changesPerSecond * seconds);
        std::poisson_distribution<int> departures(changesPerSecond * seconds * this->load / mean);
        this->load = std::max(0.0, this->load + arrivals(random) - departures(random));
    }
    double value() const { return this->load; }

private:
    double load = 32;
};

struct ReportCost {
    double bytesPerSecond = 0;
    double meanError = 0; ///< of the number of steps last reported
    double highError = 0; ///< 95th percentile
};

/** One daemon polls \a endpoints and sends their load reports to one reader.
 * \param interval time between two rounds of reports
 * \param tolerance relative change of the load beyond which a report is sent; 0 sends every report */
ReportCost measureReports(unsigned endpoints, Duration interval, double tolerance)
{
    constexpr Duration step = 100ms;
    constexpr Duration window = 300s;
    Random random(1);
    std::vector<RandomLoad> loads(endpoints);
    std::vector<double> lastReported(endpoints, 32);
    std::vector<double> errors;
    std::size_t bytes = 0;
    for (Duration passed {}; passed < window; passed += step) {
        for (RandomLoad& load : loads)
            load.step(random, std::chrono::duration<double>(step).count());
        LoadReports reports;
        for (unsigned index = 0; passed % interval == Duration::zero() && index < endpoints; ++index) {
            const double value = loads[index].value();
            if (std::abs(value - lastReported[index]) <= tolerance * std::max(lastReported[index], 1.0) && tolerance > 0)
                continue;
            lastReported[index] = value;
            const LoadReport load { 0, static_cast<std::uint32_t>(value), 1800, false };
            reports.loads.push_back({ EndpointId("assistant-" + std::to_string(1000 + index)), load, 250ms });
        }
        if (!reports.loads.empty())
            bytes += encodePeerFrame({ DaemonId("entry-1"), reports }).size() + 40; // IPv4 and TCP headers
        for (unsigned index = 0; index < endpoints; ++index)
            errors.push_back(std::abs(loads[index].value() - lastReported[index]));
    }
    const auto high = errors.begin() + static_cast<std::ptrdiff_t>(errors.size() * 95 / 100);
    std::nth_element(errors.begin(), high, errors.end());
    const double highError = *high;
    double sum = 0;
    for (const double error : errors)
        sum += error;
    return { static_cast<double>(bytes) / std::chrono::duration<double>(window).count(), sum / static_cast<double>(errors.size()), highError };
}

void reportLoads(const char* way, unsigned endpoints, Duration interval, double tolerance)
{
    const ReportCost cost = measureReports(endpoints, interval, tolerance);
    std::printf("%24s %9u %10.1f %9.0f%% %12.0f %12.2f %12.2f\n", way, endpoints, std::chrono::duration<double>(interval).count(),
        100 * tolerance, cost.bytesPerSecond, cost.meanError, cost.highError);
}

}

int main()
{
    std::printf("one change of the configuration, from one daemon that read it\n%8s %18s %10s %10s %16s\n", "daemons", "way",
        "50% s", "100% s", "extra messages");
    for (const unsigned size : { 4U, 40U, 200U, 1400U }) {
        reportConfiguration(size, false, 0);
        reportConfiguration(size, true, 2);
        reportConfiguration(size, true, 4);
        reportConfiguration(size, true, 8);
    }
    std::printf("\nload reports of endpoints with 32 steps on average and 40 changes a second, to one reader\n%24s %9s %10s %10s %12s %12s %12s\n",
        "way", "endpoints", "interval s", "tolerance", "bytes/s", "mean error", "95% error");
    for (const unsigned endpoints : { 40U, 200U }) {
        for (const Duration interval : { Duration(500ms), Duration(1s), Duration(5s) })
            reportLoads("every report", endpoints, interval, 0);
        for (const double tolerance : { 0.1, 0.2, 0.3, 0.5 })
            reportLoads("beyond tolerance", endpoints, 500ms, tolerance);
    }
}
