#ifndef FILBERTSPOKE_CONTROL_CHANNEL_H
#define FILBERTSPOKE_CONTROL_CHANNEL_H

#include "../EndpointPool.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>

namespace filbertspoke::internal {

/** \brief Polls the status of one endpoint and sends it the cancellations of requests. */
class ControlChannel : public std::enable_shared_from_this<ControlChannel> {
public:
    ControlChannel(boost::asio::io_context&, const EndpointSettings&, EndpointId, HttpAddress, const EndpointPool::Sink&);

    /** \brief Requests the status; repeats after each status period.
     *
     * Each poll emits EndpointReported, or EndpointPollFailed when there is no valid answer. */
    void poll();
    /** \brief Queues the cancellation of a request; the oldest of more than 1024 is discarded. */
    void cancel(const RequestId&);

private:
    void handleOutcome(const HttpOutcome&);
    void sendNextCancellation();

    const EndpointSettings& settings;
    EndpointId endpoint;
    const EndpointPool::Sink& sink;
    HttpConnection statusConnection;
    HttpConnection cancelConnection;
    boost::asio::steady_timer pollTimer;
    std::deque<RequestId> pendingCancellations;
};

}

#endif
