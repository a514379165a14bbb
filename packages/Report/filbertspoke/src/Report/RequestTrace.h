#ifndef FILBERTSPOKE_REPORT_REQUEST_TRACE_H
#define FILBERTSPOKE_REPORT_REQUEST_TRACE_H

#include "LogLine.h"

#include <string>
#include <string_view>
#include <vector>

namespace filbertspoke::report {

/** \brief Collects the lines about one request from the logs of all gateways. */
class RequestTrace {
public:
    explicit RequestTrace(std::string request)
        : request(std::move(request))
    {
    }

    /** \brief Takes a line of a log; lines about other requests are ignored. */
    void add(std::string_view text);

    /** \returns the request's lines in the order of time */
    std::vector<LogLine> inOrder() const;

private:
    std::string request;
    std::vector<LogLine> found;
};

}

#endif
