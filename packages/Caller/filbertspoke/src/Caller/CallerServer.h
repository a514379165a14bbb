#ifndef FILBERTSPOKE_CALLER_SERVER_H
#define FILBERTSPOKE_CALLER_SERVER_H

#include "CallerServerLimits.h"

#include <filbertspoke/Router>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace filbertspoke {

namespace internal {
class CallerServerState;
}

/** \brief HTTP server that receives callers' requests and sends the responses.
 *
 * All work runs on the single thread of the io_context. The server passes requests to \a sink as
 * CompletionReceived, CallReceived and KeyRequested, and disconnects of waiting callers as CallerDisconnected.
 * carryOut() performs the actions towards callers, and ignores requests that are no longer pending.
 * Malformed requests are answered here and not passed to \a sink.
 */
class CallerServer {
public:
    using Sink = std::function<void(Event)>;

    /** \brief Starts listening.
     * \param requestPrefix prefix of every request id; must be unique among processes
     * \throws std::system_error when the address can't be bound
     */
    CallerServer(boost::asio::io_context&, const std::string& address, std::uint16_t port, CallerServerLimits, std::string requestPrefix, Sink sink);
    ~CallerServer();

    /** \returns the port on which the server listens; the assigned one when it was constructed with port 0 */
    std::uint16_t port() const;

    /** \brief Sends a token as a server-sent event, or collects it for a response that is not streamed. */
    void carryOut(const EmitToken&);
    /** \brief Ends a completion. */
    void carryOut(const CompleteRequest&);
    /** \brief Sends the response to a call. */
    void carryOut(const AnswerCall&);
    /** \brief Sends a refusal; in a stream that has started, as an error event. */
    void carryOut(const RefuseRequest&);

    /** \brief Stops accepting connections and closes idle ones; requests in progress continue. */
    void drain();

private:
    std::shared_ptr<internal::CallerServerState> state;
};

}

#endif
