#ifndef FILBERTSPOKE_REPORT_LOG_LINE_H
#define FILBERTSPOKE_REPORT_LOG_LINE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace filbertspoke::report {

/** \brief A log line of a gateway. */
struct LogLine {
    std::int64_t time = 0; ///< Unix time in us by the gateway's clock
    std::optional<std::int64_t> offset; ///< time in us at the start of the line, before the JSON text, by the clock of what collected the lines
    std::string daemon;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< in the order of the line

    auto operator<=>(const LogLine&) const = default;

    /** \returns the time in us by one clock for all gateways where the line has it, or else by the gateway's clock */
    std::int64_t instant() const { return this->offset.value_or(this->time); }
    /** \returns the field's text, empty when the line lacks it */
    std::string_view field(std::string_view name) const;
    /** \returns the field as an integer, or nothing when it is missing or malformed */
    std::optional<std::int64_t> number(std::string_view name) const;
    /** \returns the field as a decimal number, 0 when it is missing or malformed */
    double decimal(std::string_view name) const;
};

/** \brief A log line that was cut or is no JSON object with a time, a daemon and an event. */
struct DamagedLine {
    auto operator<=>(const DamagedLine&) const = default;
};

/** \brief Text that does not come from a gateway's log. */
struct ForeignLine {
    auto operator<=>(const ForeignLine&) const = default;
};

using ParsedLine = std::variant<LogLine, DamagedLine, ForeignLine>;

/** \brief Parses a line, with or without text before the JSON object. */
ParsedLine parseLogLine(std::string_view);

/** \returns the Unix time in us of a UTC time such as 2026-01-04T11:33:03.020499Z, or nothing */
std::optional<std::int64_t> parseLogTime(std::string_view);

}

#endif
