/**
 * Messages between two daemons of filbertspoke.
 *
 * Each frame is one PeerFrame in TCompactProtocol. Field numbers are never used twice; a daemon
 * drops a frame whose message it does not know, so that old and new daemons run side by side.
 */
namespace cpp filbertspoke.wire

/** A daemon as others reach it. */
struct DaemonAddress {
  1: required string id
  2: required string failureDomain
  3: required string address
  4: required i32 port
}

enum DaemonState {
  ALIVE = 1
  SUSPECT = 2
  LEAVING = 3
  GONE = 4
}

/** What the sender holds of a daemon: at one incarnation the later state overrides. */
struct DaemonWord {
  1: required DaemonAddress daemon
  2: required i64 incarnation
  3: required DaemonState state
}

enum EndpointSign {
  DRAINING = 1
  LISTED_LEAVING = 2
  SILENT = 3
}

/** What some daemon saw of an endpoint, with the age of that observation. */
struct EndpointWord {
  1: required string endpoint
  2: required EndpointSign sign
  3: required i64 ageMicroseconds
}

struct Gossip {
  1: optional list<DaemonWord> daemons
  2: optional list<EndpointWord> endpoints
}

/** A daemon's word on itself. */
struct PeerStatus {
  1: required string daemon
  2: required i64 incarnation
  3: required i64 configurationRevision
  4: required i32 requestsInProgress
  5: required bool draining
}

/** Heartbeat; `sender` lets a daemon answer a sender that its host list does not show yet. */
struct PeerProbe {
  1: required PeerStatus status
  2: required DaemonAddress sender
  3: required i64 sequence
  4: optional Gossip gossip
}

/** Asks the receiver to probe `target` on the sender's behalf. */
struct PeerProbeRequest {
  1: required PeerStatus status
  2: required DaemonAddress sender
  3: required i64 sequence
  4: required DaemonAddress target
  5: optional Gossip gossip
}

/** Answers a probe, or reports that `subject` answered a probe made on request. */
struct PeerProbeAnswer {
  1: required PeerStatus status
  2: required string subject
  3: required i64 sequence
  4: optional Gossip gossip
}

/** Asks for the records of a stream of the log from an offset on. */
struct RecordsRequest {
  1: required string stream
  2: required i64 fromOffset
}

struct LogRecord {
  1: required i64 offset
  2: required string payload
}

/** Records of a stream, in the order of their offsets. */
struct RecordsTransfer {
  1: required string stream
  2: required i64 oldestOffset
  3: required i64 nextOffset
  4: required list<LogRecord> records
}

struct EndpointLoad {
  1: required string endpoint
  2: required i32 queued
  3: required i32 running
  4: required double tokensPerSecond
  5: required bool draining
  6: required i64 ageMicroseconds
}

/** Load reports of endpoints that the sender polls. */
struct LoadReports {
  1: required list<EndpointLoad> loads
}

struct AccountDemand {
  1: required string account
  2: required double requestsPerSecond
  3: required i32 inProgress
}

/** What the sender's callers ask for, by client account. */
struct DemandReport {
  1: required list<AccountDemand> demands
}

/** A call to a plain service that the receiver alone may run, since it minted the key. */
struct ForwardedCall {
  1: required string request
  2: required string account
  3: required string serviceName
  4: required string method
  5: required string path
  6: required string contentType
  7: required binary body
  8: required string key
  9: required i64 deadlineMicroseconds
}

/** Answer to a forwarded call: the service's answer, or a refusal when `refusal` is set. */
struct ForwardedAnswer {
  1: required string request
  2: required i32 status
  3: required string contentType
  4: required binary body
  5: optional string refusal
  6: optional string ran
  7: optional i64 retryAfterMicroseconds
}

union PeerMessage {
  1: PeerStatus status
  2: PeerProbe probe
  3: PeerProbeRequest probeRequest
  4: PeerProbeAnswer probeAnswer
  5: RecordsRequest recordsRequest
  6: RecordsTransfer recordsTransfer
  7: LoadReports loadReports
  8: DemandReport demandReport
  9: ForwardedCall forwardedCall
  10: ForwardedAnswer forwardedAnswer
}

struct PeerFrame {
  1: required string sender
  2: required PeerMessage message
}

/** Work that a gateway has in progress at an endpoint. */
struct EndpointWork {
  1: required string endpoint
  2: required double requests
  3: required double tokenLayers
  /** Requests sent per second, if the endpoint has a rate limit. */
  4: optional double requestRate
}

/** An endpoint as the platform's registry has it. */
struct RegistryEntry {
  1: required string id
  2: required string serviceName
  3: required string address
  4: required i32 port
  5: required string failureDomain
  6: required bool draining
  7: required i32 slots
  8: required string accelerator
  9: required i32 firstLayer
  10: required i32 lastLayer
  11: required i64 heartbeat
  12: required i64 startedAtMs
}

/** An endpoint that a gateway leaves alone after faults of its own. */
struct AvoidedEndpoint {
  1: required string endpoint
  2: required i64 remainingMicroseconds
}

/** One run of an endpoint, which has announced that it is leaving. */
struct LeavingEndpoint {
  1: required string endpoint
  2: required i64 startedAtMs
}

/** One run of an endpoint, which refuses the requests of the sender. */
struct RefusingEndpoint {
  1: required string endpoint
  2: required i64 startedAtMs
  /** Time for which the sender does not use it. */
  3: required i64 remainingMicroseconds
}

/** The rate of requests that one run of an endpoint accepts from all gateways together, according to its last answer. */
struct RateLimit {
  1: required string endpoint
  2: required i64 startedAtMs
  /** Not set when the answer named no limit any more. */
  3: optional double requestsPerSecond
  4: required i64 ageMicroseconds
}

/** The end of an endpoint's run while it was to begin the answer to a request. */
struct EndpointCrash {
  1: required string endpoint
  2: required i64 startedAtMs
  3: required i64 ageMicroseconds
  /** Time for which the endpoint had the request. */
  4: required i64 heldMicroseconds
}

/** What a gateway knows of a trait of requests, a part of their prompt or their fingerprint, that were at endpoints which crashed. */
struct RequestTraitEvidence {
  1: required string trait
  2: required list<EndpointCrash> crashes
  3: optional i64 servedAgeMicroseconds
  4: required bool quarantined
}

/** What a gateway tells another one of itself; the answer is the other one's word. */
struct GatewayWord {
  1: required string daemon
  2: required string address
  3: required i32 port
  4: required i64 configurationVersion
  5: required list<EndpointWork> work
  /** Empty when the receiver has the sender's list already, as its digest shows. */
  6: required list<string> peers
  7: required bool wantsEndpoints
  8: optional string configurationKey
  9: optional binary configurationDocument
  10: optional list<RegistryEntry> endpoints
  11: optional list<AvoidedEndpoint> avoided
  12: optional string failureDomain
  13: optional bool sum
  14: optional i64 endpointsRevision
  15: optional i64 knownRevision
  16: optional bool followsStore
  17: optional i64 siteGateways
  18: optional i64 siteGatewaysAgeMicroseconds
  19: optional i64 storeEra
  20: optional list<LeavingEndpoint> leaving
  /** Failure domain of each of the peers, in their order. */
  21: optional list<string> peerDomains
  22: optional i64 peersDigest
  23: optional i64 knownPeersDigest
  24: optional bool relaysStore
  25: optional list<RequestTraitEvidence> requestTraits
  26: optional list<RateLimit> rateLimits
  /** Where the sender takes requests that other gateways can't serve themselves. */
  27: optional string handoverAddress
  /** Services whose endpoints the sender doesn't reach. */
  28: optional list<string> unreachableServices
  29: optional list<RefusingEndpoint> refusing
}
