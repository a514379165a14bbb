#ifndef FILBERTSPOKE_LEDGER_LIMITS_H
#define FILBERTSPOKE_LEDGER_LIMITS_H

#include <filbertspoke/Core>

#include <chrono>
#include <compare>
#include <cstddef>

namespace filbertspoke {

/** \brief Time limits and size limits of a KeyLedger. */
struct LedgerLimits {
    Duration keyLifetime = std::chrono::hours(24); ///< time after its creation during which a caller key is accepted
    Duration maximumClockSkew = std::chrono::seconds(10); ///< largest difference between any two clocks, including those of callers
    Duration appendBatchDelay = std::chrono::milliseconds(10); ///< time for which records are collected into one append
    Duration idleReadInterval = std::chrono::seconds(5); ///< the log is read after this time without an update from it
    Duration platformRetryDelay = std::chrono::seconds(1); ///< time until the next read or append after the log has failed
    Duration logResponseTimeout = std::chrono::seconds(10); ///< time after which a response of the log counts as lost
    Duration pauseThreshold = std::chrono::seconds(2); ///< a longer time between two calls means that the process was paused
    Duration abandonedClaimTimeout = std::chrono::seconds(60); ///< time for which a claim without waiting requests is kept
    Duration markerInterval = std::chrono::hours(1); ///< longest time between two records in the log
    std::size_t maximumBatchRecords = 256; ///< largest number of records in one append
    std::size_t maximumBodyBytes = 16 * 1024; ///< largest total size of content type and body of a response that is stored

    /** \returns the shortest retention time of the log with which every key within its lifetime is accepted */
    Duration requiredRetention() const { return this->keyLifetime + 2 * this->maximumClockSkew + 2 * this->markerInterval; }

    auto operator<=>(const LedgerLimits&) const = default;
};

}

#endif
