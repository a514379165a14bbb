#ifndef FILBERTSPOKE_LEDGER_LIMITS_H
#define FILBERTSPOKE_LEDGER_LIMITS_H

#include <filbertspoke/Core>

#include <chrono>
#include <compare>
#include <cstddef>

namespace filbertspoke {

/** \brief Times and sizes of a KeyLedger. */
struct LedgerLimits {
    Duration keyLifetime = std::chrono::hours(24); ///< how long after its creation a caller key is accepted
    Duration maximumClockSkew = std::chrono::seconds(10); ///< most by which any two clocks, callers' included, differ
    Duration appendBatchDelay = std::chrono::milliseconds(10); ///< how long records are collected for one append
    Duration idleReadInterval = std::chrono::seconds(5); ///< the log is read when no records came for so long
    Duration platformRetryDelay = std::chrono::seconds(1); ///< between tries of a log that failed
    Duration logResponseTimeout = std::chrono::seconds(10); ///< after which the log's answer counts as lost
    Duration pauseThreshold = std::chrono::seconds(2); ///< a longer gap between events means that the process was paused
    Duration abandonedClaimTimeout = std::chrono::seconds(60); ///< how long a claim that nobody wants is watched for
    Duration markerInterval = std::chrono::hours(1); ///< most time between two records of the log
    std::size_t maximumBatchRecords = 256; ///< records in one append
    std::size_t maximumBodyBytes = 16 * 1024; ///< bytes of a service's answer that are stored

    /** \returns the least retention of the log with which every key within the window is accepted */
    Duration requiredRetention() const { return this->keyLifetime + 2 * this->maximumClockSkew + 2 * this->markerInterval; }

    auto operator<=>(const LedgerLimits&) const = default;
};

}

#endif
