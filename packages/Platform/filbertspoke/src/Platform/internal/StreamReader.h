#ifndef FILBERTSPOKE_STREAM_READER_H
#define FILBERTSPOKE_STREAM_READER_H

#include "../PlatformClient.h"

#include <boost/asio/steady_timer.hpp>

#include <string>

namespace filbertspoke::internal {

/** \brief Follows one stream of the log by long poll. */
class StreamReader {
public:
    StreamReader(boost::asio::io_context&, const PlatformSettings&, std::string stream, const PlatformClient::Sink&);

    /** \brief Moves the position and reads from it at once. */
    void readFrom(LogOffset);

private:
    void read();
    void accept(HttpOutcome);
    void accept(const HttpResponse&);
    void fail();

    const PlatformSettings& settings;
    const PlatformClient::Sink& sink;
    std::string stream;
    HttpConnection connection;
    boost::asio::steady_timer retry;
    LogOffset position = 0;
    bool atOnce = false; ///< the next answer must not be held back by the log
    bool polling = false; ///< the read in progress is a long poll
    bool waiting = false; ///< after a failure
    Duration retryDelay;
};

}

#endif
