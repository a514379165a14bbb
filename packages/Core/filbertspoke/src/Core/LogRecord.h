#ifndef FILBERTSPOKE_LOG_RECORD_H
#define FILBERTSPOKE_LOG_RECORD_H

#include <compare>
#include <cstdint>
#include <string>

namespace filbertspoke {

/** \brief A position in one stream of the platform's log. */
using LogOffset = std::uint64_t;

/** \brief A record of the platform's log. */
struct LogRecord {
    std::string stream; ///< "configuration", "actions" or another stream of the log
    LogOffset offset = 0;
    std::string payload; ///< JSON text

    auto operator<=>(const LogRecord&) const = default;
};

}

#endif
