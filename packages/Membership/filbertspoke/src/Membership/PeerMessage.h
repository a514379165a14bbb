#ifndef FILBERTSPOKE_PEER_MESSAGE_H
#define FILBERTSPOKE_PEER_MESSAGE_H

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace filbertspoke {

/** \brief A daemon's word on itself, exchanged between peers. */
struct PeerStatus {
    DaemonId from;
    std::uint64_t incarnation = 0; ///< start time of the process in microseconds since 1970
    LogOffset configurationRevision = 0;
    std::uint32_t requestsInProgress = 0;
    bool draining = false;

    auto operator<=>(const PeerStatus&) const = default;
};

/** \brief Asks the daemon that made a bound idempotency key to run or repeat the key's call. */
struct ForwardCall {
    RequestId request; ///< of the asking daemon, repeated in the ForwardedAnswer
    AccountId account;
    std::string key; ///< the bound key as the caller sent it
    ServiceId service;
    std::string method;
    std::string path; ///< below the service, starts with '/', with the query
    std::string contentType;
    std::string body; ///< any bytes
    Duration deadline {}; ///< how long the asking daemon waits

    auto operator<=>(const ForwardCall&) const = default;
};

/** \brief The final answer to a ForwardCall: the service's own, or a refusal. */
struct ForwardedAnswer {
    RequestId request;
    std::uint32_t status = 0; ///< HTTP status of the service's answer; not read beside a refusal
    std::string contentType;
    std::string body; ///< any bytes
    std::optional<Refusal> refusal;

    bool operator==(const ForwardedAnswer&) const = default;
};

/** \brief A message between two daemons. The package Peer carries it as a Thrift frame. */
using PeerMessage = std::variant<PeerStatus, ForwardCall, ForwardedAnswer>;

}

#endif
