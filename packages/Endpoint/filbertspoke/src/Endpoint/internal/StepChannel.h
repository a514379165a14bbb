#ifndef FILBERTSPOKE_STEP_CHANNEL_H
#define FILBERTSPOKE_STEP_CHANNEL_H

#include "../EndpointPool.h"

#include <deque>
#include <memory>
#include <vector>

namespace filbertspoke::internal {

/** \brief Sends steps to one engine, batched in frames, over a limited number of connections. */
class StepChannel : public std::enable_shared_from_this<StepChannel> {
public:
    StepChannel(boost::asio::io_context&, const EndpointSettings&, EndpointId, HttpAddress, const EndpointPool::Sink&);

    /** \brief Queues a step for the next frame. */
    void send(const Step&);

    /** \brief Drops the unsent steps of a request, without an event. */
    void dropWaiting(const RequestId&);

    /** \returns whether no step waits or is in flight */
    bool idle() const;

    /** \brief Closes the connections without a frame in flight. */
    void closeIdleConnections();

private:
    /** \brief A connection and its frame. */
    struct StepConnection {
        HttpConnection http;
        std::vector<Step> frame; ///< the steps in flight; empty when the connection is free
    };

    void scheduleFlush();
    void flush();
    StepConnection* findFreeConnection();
    void sendFrame(StepConnection&);
    void handleOutcome(std::vector<Step> frame, const HttpOutcome&);
    /** \brief Emits StepAnswered for each receipt, and StepFailed for each step without one. */
    void handleReceipts(std::vector<Step> frame, const std::string& body);
    /** \brief Emits StepFailed for each step of a frame. */
    void emitFailures(const std::vector<Step>& frame, bool sent);

    boost::asio::io_context& context;
    const EndpointSettings& settings;
    EndpointId endpoint;
    HttpAddress address;
    const EndpointPool::Sink& sink;
    std::deque<Step> waiting;
    std::vector<std::unique_ptr<StepConnection>> connections;
    bool flushScheduled = false;
};

}

#endif
