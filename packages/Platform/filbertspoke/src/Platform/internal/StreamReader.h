#ifndef FILBERTSPOKE_STREAM_READER_H
#define FILBERTSPOKE_STREAM_READER_H

#include "../PlatformClient.h"

#include <boost/asio/steady_timer.hpp>

#include <string>

namespace filbertspoke::internal {

/** \brief Reads one stream of the log continuously by long polls, and retries failed reads with exponential backoff. */
class StreamReader {
public:
    StreamReader(boost::asio::io_context&, const PlatformSettings&, std::string stream, const PlatformClient::Sink&);

    /** \brief Moves the position and reads from it without a long poll. */
    void readFrom(LogOffset);

private:
    void read();
    void handleOutcome(HttpOutcome);
    void handleResponse(const HttpResponse&);
    /** \brief Emits ReadFailed and schedules the next read after a backoff with jitter. */
    void scheduleRetry();

    const PlatformSettings& settings;
    const PlatformClient::Sink& sink;
    std::string stream;
    HttpConnection connection;
    boost::asio::steady_timer retryTimer;
    LogOffset position = 0;
    bool skipLongPoll = false; ///< the next read must be answered immediately, also without records
    bool longPolling = false; ///< the read in progress is a long poll
    bool retryPending = false; ///< a read failed and its retry is scheduled
    Duration retryDelay;
};

}

#endif
