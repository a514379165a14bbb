#ifndef FILBERTSPOKE_LATENCY_HISTORY_H
#define FILBERTSPOKE_LATENCY_HISTORY_H

#include <filbertspoke/Core>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace filbertspoke::internal {

/** \brief Smoothed latency and its deviation, as TCP keeps them for its retransmission timer.
 *
 * \sa RFC 6298
 */
class LatencyHistory {
public:
    void add(Duration sample)
    {
        const double value = static_cast<double>(sample.count());
        if (this->empty()) {
            this->mean = value;
            this->meanDeviation = value / 2;
            this->lowest = value;
            return;
        }
        this->meanDeviation += (std::abs(value - this->mean) - this->meanDeviation) * deviationGain;
        this->mean += (value - this->mean) * meanGain;
        this->lowest += (value - this->lowest) * (value < this->lowest ? 1.0 : lowestDrift);
    }

    bool empty() const { return this->mean == 0; }
    Duration smoothed() const { return toDuration(this->mean); }
    /** \returns the latency with little load; it follows a lasting rise over some thousand samples */
    Duration smallest() const { return toDuration(this->lowest); }
    /** \returns how long an answer may take before the endpoint is suspected */
    Duration timeout() const
    {
        if (this->empty())
            return timeoutWithoutHistory;
        return std::clamp(toDuration(this->mean + deviationsAllowed * this->meanDeviation), shortestTimeout, longestTimeout);
    }

private:
    static constexpr double meanGain = 1.0 / 8;
    static constexpr double deviationGain = 1.0 / 4;
    static constexpr double lowestDrift = 1.0 / 1024;
    static constexpr double deviationsAllowed = 8; ///< queues behind batches vary more than networks do
    static constexpr Duration shortestTimeout = std::chrono::milliseconds(150);
    static constexpr Duration longestTimeout = std::chrono::seconds(2);
    static constexpr Duration timeoutWithoutHistory = std::chrono::seconds(1);

    static Duration toDuration(double microseconds) { return Duration(static_cast<Duration::rep>(microseconds)); }

    double mean = 0; ///< microseconds, as the two below
    double meanDeviation = 0;
    double lowest = 0;
};

}

#endif
