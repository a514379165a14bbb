#ifndef FILBERTSPOKE_SOCKET_TIMEOUTS_H
#define FILBERTSPOKE_SOCKET_TIMEOUTS_H

#include <filbertspoke/Core>

#include <chrono>
#include <compare>
#include <system_error>

namespace filbertspoke {

/** \brief What a TCP connection of the daemon carries. */
enum class ConnectionKind {
    Caller, ///< accepted; requests of callers
    Endpoint, ///< opened; requests to endpoints, and to gateways that take them over
    EngineReport, ///< opened; an engine's reports, its orders and probes of endpoints
    Store, ///< opened; the platform's store, log and host list
    Peer, ///< opened or accepted; messages between gateways
    PeerFrames, ///< opened or accepted; Thrift frames between daemons
    Handover, ///< accepted; requests that other gateways hand over
    Operator, ///< accepted; readiness, metrics and the operators' interface
};

/** \brief Time-outs with which the kernel ends a connection whose other side does not respond.
 *
 * On Linux, \a unacknowledged decides also how long keep-alive probes go on, whatever their number: a silent connection
 * ends at the first interval at which it has been silent for that long and a probe has been sent.
 */
struct SocketTimeouts {
    std::chrono::milliseconds unacknowledged {}; ///< TCP_USER_TIMEOUT: how long sent data may stay unacknowledged
    std::chrono::seconds idle {}; ///< TCP_KEEPIDLE: silence before the first keep-alive probe
    std::chrono::seconds interval {}; ///< TCP_KEEPINTVL: between two probes

    auto operator<=>(const SocketTimeouts&) const = default;
};

/** \returns the time-outs of connections of this kind */
SocketTimeouts socketTimeoutsFor(ConnectionKind);

/** \returns the silence after which the kernel ends a connection on which no data is outstanding */
std::chrono::milliseconds silenceLimit(const SocketTimeouts&);

/** \brief Sets the options on a TCP socket and turns on its keep-alive probes.
 * \returns the error of the first option that was refused, if any */
std::error_code setSocketTimeouts(int descriptor, const SocketTimeouts&);

/** \returns the options of a TCP socket, with \a idle and \a interval 0 without keep-alive probes, or the error of the first one
 * that can't be read */
Result<SocketTimeouts> readSocketTimeouts(int descriptor);

}

#endif
