#ifndef FILBERTSPOKE_STREAM_APPENDER_H
#define FILBERTSPOKE_STREAM_APPENDER_H

#include "../PlatformClient.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>

namespace filbertspoke::internal {

/** \brief Appends to one stream of the log, one append after another. */
class StreamAppender {
public:
    StreamAppender(boost::asio::io_context&, const PlatformSettings&, const PlatformClient::Sink&);

    void append(const AppendRecords&);

private:
    using Clock = std::chrono::steady_clock;

    struct Waiting {
        AppendRecords records;
        Clock::time_point deadline;
    };

    void sendNext();
    void accept(std::uint64_t append, const HttpOutcome&);
    void expire();

    const PlatformSettings& settings;
    const PlatformClient::Sink& sink;
    HttpConnection connection;
    boost::asio::steady_timer expiry;
    std::deque<Waiting> queue;
};

}

#endif
