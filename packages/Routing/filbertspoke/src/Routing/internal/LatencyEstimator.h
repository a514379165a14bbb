#ifndef FILBERTSPOKE_LATENCY_ESTIMATOR_H
#define FILBERTSPOKE_LATENCY_ESTIMATOR_H

#include <filbertspoke/Core>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace filbertspoke::internal {

/** \brief Smoothed latency, its mean deviation and its minimum, estimated like the round-trip time of TCP.
 *
 * \sa RFC 6298
 */
class LatencyEstimator {
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
        this->lowest += (value - this->lowest) * (value < this->lowest ? 1.0 : minimumDrift);
    }

    bool empty() const { return this->mean == 0; }
    Duration smoothed() const { return toDuration(this->mean); }
    /** \returns the latency under little load; after a lasting rise it adapts within some thousand samples */
    Duration minimum() const { return toDuration(this->lowest); }
    /** \returns the timeout of an answer; 1 s before the first sample, then between 150 ms and 2 s */
    Duration timeout() const
    {
        if (this->empty())
            return initialTimeout;
        return std::clamp(toDuration(this->mean + deviationFactor * this->meanDeviation), minimumTimeout, maximumTimeout);
    }

private:
    static constexpr double meanGain = 1.0 / 8;
    static constexpr double deviationGain = 1.0 / 4;
    static constexpr double minimumDrift = 1.0 / 1024; ///< gain of samples above the minimum
    static constexpr double deviationFactor = 8; ///< 8 rather than the 4 of RFC 6298, because waits behind batches vary more than network delays
    static constexpr Duration minimumTimeout = std::chrono::milliseconds(150);
    static constexpr Duration maximumTimeout = std::chrono::seconds(2);
    static constexpr Duration initialTimeout = std::chrono::seconds(1);

    static Duration toDuration(double microseconds) { return Duration(static_cast<Duration::rep>(microseconds)); }

    double mean = 0; ///< microseconds, as are the two members below
    double meanDeviation = 0;
    double lowest = 0;
};

}

#endif
