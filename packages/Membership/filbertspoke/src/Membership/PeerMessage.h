#ifndef FILBERTSPOKE_PEER_MESSAGE_H
#define FILBERTSPOKE_PEER_MESSAGE_H

#include "DaemonStateUpdate.h"
#include "EndpointObservation.h"
#include "ListedHost.h"

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \brief A daemon's status as it reports it to its peers. */
struct PeerStatus {
    DaemonId from;
    std::uint64_t incarnation = 0; ///< start time in microseconds since 1970, increased to refute a suspicion
    LogOffset configurationRevision = 0;
    std::uint32_t requestsInProgress = 0;
    bool draining = false;

    auto operator<=>(const PeerStatus&) const = default;
};

/** \name Heartbeats
 * @{ */

/** \brief Updates on daemons and endpoints, piggybacked on heartbeats. */
struct Gossip {
    std::vector<DaemonStateUpdate> daemons;
    std::vector<EndpointObservation> endpoints;

    bool operator==(const Gossip&) const = default;
};

/** \brief A heartbeat; the receiver answers at once. */
struct PeerProbe {
    PeerStatus status;
    ListedDaemon self; ///< address for the answer, since a lagging host list may lack the sender
    std::uint64_t sequence = 0;
    Gossip gossip;

    bool operator==(const PeerProbe&) const = default;
};

/** \brief Asks the receiver to probe a third daemon on the sender's behalf. */
struct PeerProbeRequest {
    PeerStatus status;
    ListedDaemon self;
    std::uint64_t sequence = 0;
    ListedDaemon target;
    Gossip gossip;

    bool operator==(const PeerProbeRequest&) const = default;
};

/** \brief Reports that a daemon answered a probe: the sender itself, or the target of a probe request. */
struct PeerProbeAnswer {
    PeerStatus status;
    DaemonId subject; ///< the daemon that answered
    std::uint64_t sequence = 0; ///< of the probe or the probe request
    Gossip gossip;

    bool operator==(const PeerProbeAnswer&) const = default;
};

/** @}
 * \name Log records from a peer
 * @{ */

/** \brief Asks a peer for the records of a stream from an offset on. */
struct RecordsRequest {
    std::string stream;
    LogOffset from = 0;

    auto operator<=>(const RecordsRequest&) const = default;
};

/** \brief Records of a stream that a peer holds. */
struct RecordsTransfer {
    std::string stream;
    LogOffset oldest = 0; ///< the oldest offset that the sender holds
    LogOffset next = 0; ///< the offset after the last that the sender has read
    std::vector<LogRecord> records; ///< in the order of their offsets

    auto operator<=>(const RecordsTransfer&) const = default;
};

/** @}
 * \name Load and demand
 * @{ */

/** \brief An endpoint's load as the sender polled it. */
struct EndpointLoad {
    EndpointId endpoint;
    LoadReport load;
    Duration age {}; ///< time since the sender got the report

    auto operator<=>(const EndpointLoad&) const = default;
};

/** \brief Load reports of endpoints that the sender polls. */
struct LoadReports {
    std::vector<EndpointLoad> loads;

    auto operator<=>(const LoadReports&) const = default;
};

/** \brief Demand of the sender's callers, by which daemons divide the account limits. */
struct DemandReport {
    std::vector<AccountDemand> demands;

    auto operator<=>(const DemandReport&) const = default;
};

/** @}
 * \name Calls that only one daemon may run
 * @{ */

/** \brief A call whose idempotency key was issued by the receiver, so that only the receiver may run it. */
struct ForwardedCall {
    RequestId request; ///< chosen by the sender
    AccountId account;
    ServiceId service;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string key;
    Duration deadline {}; ///< time left, counted from the receipt

    auto operator<=>(const ForwardedCall&) const = default;
};

/** \brief Answer to a ForwardedCall: the service's response, or the receiver's refusal. */
struct ForwardedAnswer {
    RequestId request;
    std::uint32_t status = 0; ///< HTTP status of the service's answer; 0 with a refusal
    std::string contentType;
    std::string body;
    std::optional<Refusal> refusal;

    bool operator==(const ForwardedAnswer&) const = default;
};

/** @} */

/** \brief A message between two daemons. The package Peer carries it as a Thrift frame. */
using PeerMessage = std::variant<
    PeerStatus,
    PeerProbe, PeerProbeRequest, PeerProbeAnswer,
    RecordsRequest, RecordsTransfer,
    LoadReports, DemandReport,
    ForwardedCall, ForwardedAnswer>;

}

#endif
