#ifndef FILBERTSPOKE_CALL_CHANNEL_H
#define FILBERTSPOKE_CALL_CHANNEL_H

#include "../EndpointPool.h"

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace filbertspoke::internal {

/** \brief Sends calls to one replica of a plain service; concurrent calls use separate connections. */
class CallChannel : public std::enable_shared_from_this<CallChannel> {
public:
    CallChannel(boost::asio::io_context&, const EndpointSettings&, EndpointId, HttpAddress, const EndpointPool::Sink&);

    /** \brief Sends a call on an idle or new connection. */
    void send(const SendCall&);

    /** \brief Cancels a call by closing its connection, without an event. */
    void cancel(const RequestId&, std::uint32_t attempt);

    /** \returns whether no call is in progress */
    bool idle() const { return this->calls.empty(); }

    /** \brief Closes the connections without a call. */
    void closeIdleConnections() { this->idleConnections.clear(); }

private:
    using CallKey = std::pair<RequestId, std::uint32_t>; ///< request and attempt
    using Connection = std::unique_ptr<HttpConnection>;

    void handleOutcome(const CallKey&, HttpOutcome);

    boost::asio::io_context& context;
    const EndpointSettings& settings;
    EndpointId endpoint;
    HttpAddress address;
    const EndpointPool::Sink& sink;
    std::map<CallKey, Connection> calls;
    std::vector<Connection> idleConnections;
};

}

#endif
