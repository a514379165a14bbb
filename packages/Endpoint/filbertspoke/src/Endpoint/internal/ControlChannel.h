#ifndef FILBERTSPOKE_CONTROL_CHANNEL_H
#define FILBERTSPOKE_CONTROL_CHANNEL_H

#include "../EndpointPool.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>

namespace filbertspoke::internal {

/** \brief Polls one endpoint's status and tells it of cancelled requests. */
class ControlChannel : public std::enable_shared_from_this<ControlChannel> {
public:
    ControlChannel(boost::asio::io_context&, const EndpointSettings&, EndpointId, HttpAddress, const EndpointPool::Sink&);

    void poll();
    void cancel(const RequestId&);

private:
    void accept(const HttpOutcome&);
    void sendNextCancel();

    const EndpointSettings& settings;
    EndpointId endpoint;
    const EndpointPool::Sink& sink;
    HttpConnection statusConnection;
    HttpConnection cancelConnection;
    boost::asio::steady_timer nextPoll;
    std::deque<RequestId> cancels;
};

}

#endif
