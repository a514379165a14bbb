#ifndef FILBERTSPOKE_STREAM_APPENDER_H
#define FILBERTSPOKE_STREAM_APPENDER_H

#include "../PlatformClient.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>

namespace filbertspoke::internal {

/** \brief Queues the appends to one stream of the log and sends them one at a time, without retries. */
class StreamAppender {
public:
    StreamAppender(boost::asio::io_context&, const PlatformSettings&, const PlatformClient::Sink&);

    void append(const AppendRecords&);

private:
    using Clock = std::chrono::steady_clock;

    struct QueuedAppend {
        AppendRecords records;
        Clock::time_point deadline;
    };

    void sendNext();
    void handleOutcome(std::uint64_t append, const HttpOutcome&);
    /** \brief Schedules the removal of queued appends that are not sent by their deadline; emits AppendFailed for each. */
    void scheduleExpiry();

    const PlatformSettings& settings;
    const PlatformClient::Sink& sink;
    HttpConnection connection;
    boost::asio::steady_timer expiryTimer;
    std::deque<QueuedAppend> queue;
};

}

#endif
