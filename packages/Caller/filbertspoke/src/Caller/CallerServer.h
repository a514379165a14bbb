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

/** \brief Takes HTTP requests from callers, and brings them their answers.
 *
 * Everything runs on the io_context's one thread. Requests reach \a sink as CompletionReceived,
 * CallReceived and CallerDisconnected; the actions towards callers are carried out by carryOut().
 * Malformed requests are answered here and reach nobody.
 */
class CallerServer {
public:
    using Sink = std::function<void(Event)>;

    /** \brief Listens at once.
     * \param requestPrefix starts the id of every request, and is never used by another process
     * \throws std::system_error when the address can't be listened at
     */
    CallerServer(boost::asio::io_context&, const std::string& address, std::uint16_t port, CallerServerLimits, std::string requestPrefix, Sink sink);
    ~CallerServer();

    /** \returns the port that the server listens at; tells what port 0 became */
    std::uint16_t port() const;

    void carryOut(const EmitToken&);
    void carryOut(const CompleteRequest&);
    void carryOut(const AnswerCall&);
    void carryOut(const RefuseRequest&);

    /** \brief Takes no new connection and closes idle ones; requests in progress go on. */
    void drain();

private:
    std::shared_ptr<internal::CallerServerState> state;
};

}

#endif
