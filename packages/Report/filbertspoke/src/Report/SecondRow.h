#ifndef FILBERTSPOKE_REPORT_SECOND_ROW_H
#define FILBERTSPOKE_REPORT_SECOND_ROW_H

#include "PlacementState.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke::report {

/** \brief What happened to the requests and engines of a service within one second. */
struct SecondCounts {
    std::int64_t offered = 0; ///< requests that callers sent, by the time of their arrival
    std::int64_t repeats = 0; ///< of them, those that repeat a refused request
    std::int64_t answered = 0;
    std::int64_t repeatsAnswered = 0;
    std::map<std::string, std::int64_t> refused; ///< by reason: a response that promises that the request did not run
    std::map<std::string, std::int64_t> failed; ///< by outcome: neither answered nor refused
    std::map<std::string, std::int64_t> givenUp; ///< by reason
    std::int64_t toldToReturn = 0; ///< callers whom a refusal asked to return in this second
    std::int64_t chains = 0; ///< chosen, also to resume
    std::int64_t resumed = 0; ///< chains that resume a stream
    std::int64_t interrupted = 0; ///< attempts that failed after their first event
    std::map<std::string, std::int64_t> attemptsFailed; ///< by reason
    std::int64_t retried = 0;
    std::int64_t handedOver = 0;
    std::int64_t brokenOff = 0; ///< streams that ended without their last event
    std::int64_t ordersSent = 0;
    std::int64_t ordersDone = 0;
    std::int64_t enginesLost = 0; ///< that held layers
    std::int64_t enginesReturned = 0; ///< started, or there again

    auto operator<=>(const SecondCounts&) const = default;
};

/** \brief A second of a service. */
struct SecondRow {
    std::int64_t second = 0; ///< since the start of the report
    std::string service;
    SecondCounts counts;
    std::int64_t running = 0; ///< generations in progress at the end of the second
    std::optional<PlacedCapacity> capacity; ///< least of the second

    auto operator<=>(const SecondRow&) const = default;
};

/** \brief Number of engines that hold each layer, from an instant on. */
struct CopiesRow {
    std::int64_t time = 0; ///< in us since the start of the report
    std::string service;
    std::map<std::string, std::vector<std::uint32_t>> byDomain;

    auto operator<=>(const CopiesRow&) const = default;
};

/** \brief Lines that were read, by what they are. */
struct LineCounts {
    std::int64_t read = 0; ///< log lines
    std::int64_t damaged = 0;
    std::int64_t foreign = 0;

    auto operator<=>(const LineCounts&) const = default;
};

/** \brief The table of a run. */
struct Report {
    std::int64_t start = 0; ///< second zero, in us by the clock of the lines
    LineCounts lines;
    std::vector<SecondRow> seconds; ///< by second, then by service
    std::vector<CopiesRow> copies; ///< by time

    auto operator<=>(const Report&) const = default;
};

}

#endif
