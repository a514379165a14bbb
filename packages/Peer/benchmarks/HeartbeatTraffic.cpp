// Measures the cost of heartbeats in virtual time: messages and bytes per second and daemon, CPU time, and the time
// until the failure of a daemon is detected.
#include "HeartbeatSimulation.h"

#include <cstdio>
#include <ctime>

using namespace filbertspoke;
using namespace filbertspoke::benchmarks;

namespace {

struct Cost {
    double messagesPerSecond = 0;
    double bytesPerSecond = 0;
    double microsecondsPerSecond = 0; ///< CPU time per simulated second and daemon, including the simulation itself
};

/** \param restartInterval time between two restarts of any daemon; zero for none */
Cost measure(Simulation& simulation, Duration duration, Duration restartInterval)
{
    simulation.resetCounts();
    const auto started = std::clock();
    if (restartInterval == Duration::zero()) {
        simulation.run(duration);
    } else {
        for (Duration passed {}; passed < duration; passed += restartInterval) {
            simulation.restart(simulation.draw());
            simulation.run(restartInterval);
        }
    }
    const double processor = 1e6 * static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
    const double share = static_cast<double>(simulation.size()) * std::chrono::duration<double>(duration).count();
    return { static_cast<double>(simulation.messages) / share, static_cast<double>(simulation.bytes) / share, processor / share };
}

/** \returns seconds until \a percent of the other daemons see the daemon in the state, at most 120 */
double secondsUntil(Simulation& simulation, unsigned number, MemberState state, std::size_t percent)
{
    constexpr Duration step = 100ms;
    constexpr Duration limit = 120s;
    Duration passed {};
    while (passed < limit && 100 * simulation.countSeeing(number, state) < percent * (simulation.size() - 1)) {
        simulation.run(step);
        passed += step;
    }
    return std::chrono::duration<double>(passed).count();
}

void report(unsigned size)
{
    constexpr Duration settling = 150s;
    constexpr Duration window = 60s;
    // 4600 restarts and 190 failures per day, all assumed to happen in one cluster of daemons.
    constexpr Duration restartInterval = 18s;
    Simulation simulation(size);
    simulation.run(settling);
    const Cost quiet = measure(simulation, window, Duration::zero());
    const Cost churn = measure(simulation, 5 * restartInterval, restartInterval);
    simulation.run(settling);
    simulation.kill(0);
    const double first = secondsUntil(simulation, 0, MemberState::Gone, 1);
    const double last = first + secondsUntil(simulation, 0, MemberState::Gone, 100);
    std::printf("%8u %10.2f %10.0f %10.0f %10.0f %10.0f %12.1f %12.1f\n", size, quiet.messagesPerSecond, quiet.bytesPerSecond,
        churn.bytesPerSecond, quiet.microsecondsPerSecond, churn.microsecondsPerSecond, first, last);
    std::printf("{\"benchmark\":\"heartbeat-traffic\",\"daemons\":%u,\"messagesPerSecond\":%.3f,\"bytesPerSecond\":%.1f,"
                "\"bytesPerSecondRestarting\":%.1f,\"microsecondsPerSecond\":%.1f,\"goneFirstSeconds\":%.1f,\"goneLastSeconds\":%.1f}\n",
        size, quiet.messagesPerSecond, quiet.bytesPerSecond, churn.bytesPerSecond, quiet.microsecondsPerSecond, first, last);
}

}

int main()
{
    std::printf("%8s %10s %10s %10s %10s %10s %12s %12s\n", "daemons", "messages/s", "bytes/s", "restarting", "us/s", "restarting",
        "gone first s", "gone last s");
    for (const unsigned size : { 4U, 40U, 200U, 1400U })
        report(size);
}
