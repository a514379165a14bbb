#ifndef FILBERTSPOKE_STEP_CHANNEL_H
#define FILBERTSPOKE_STEP_CHANNEL_H

#include "../EndpointPool.h"

#include <deque>
#include <memory>
#include <vector>

namespace filbertspoke::internal {

/** \brief Carries steps to one engine in frames, over a few connections. */
class StepChannel : public std::enable_shared_from_this<StepChannel> {
public:
    StepChannel(boost::asio::io_context&, const EndpointSettings&, EndpointId, HttpAddress, const EndpointPool::Sink&);

    void send(const Step&);

    /** \brief Drops the request's steps that have not left. */
    void drop(const RequestId&);

    /** \returns whether no step waits or is in flight */
    bool idle() const;

    void closeIdleConnections();

private:
    struct Lane {
        HttpConnection connection;
        std::vector<Step> frame; ///< the steps in flight
    };

    void flushSoon();
    void flush();
    Lane* freeLane();
    void sendFrame(Lane&);
    void accept(std::vector<Step> frame, const HttpOutcome&);
    void pass(std::vector<Step> frame, const std::string& body);
    void fail(const std::vector<Step>& frame, bool sent);

    boost::asio::io_context& context;
    const EndpointSettings& settings;
    EndpointId endpoint;
    HttpAddress address;
    const EndpointPool::Sink& sink;
    std::deque<Step> waiting;
    std::vector<std::unique_ptr<Lane>> lanes;
    bool flushing = false;
};

}

#endif
