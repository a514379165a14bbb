#ifndef FILBERTSPOKE_REPORT_REPORT_FORMAT_H
#define FILBERTSPOKE_REPORT_REPORT_FORMAT_H

#include "LogLine.h"
#include "SecondRow.h"

#include <string>
#include <variant>
#include <vector>

namespace filbertspoke::report {

/** \brief Columns for a reader. */
struct TextFormat {
};
/** \brief One line a row, with a header line. */
struct CsvFormat {
};
/** \brief One JSON document. */
struct JsonFormat {
};

using Format = std::variant<TextFormat, CsvFormat, JsonFormat>;

/** \returns the table of seconds */
std::string formatSeconds(const Report&, const Format&);

/** \returns the copies of each layer by failure domain, at each change */
std::string formatCopies(const Report&, const Format&);

/** \returns the lines of a request, with times in seconds since the first */
std::string formatTrace(const std::vector<LogLine>&, const Format&);

}

#endif
