#ifndef FILBERTSPOKE_EVENT_H
#define FILBERTSPOKE_EVENT_H

#include "ServiceCall.h"

#include <filbertspoke/Core>
#include <filbertspoke/Membership>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace filbertspoke {

// Events are aggregates: an event is read-only once it stands in the variant, since
// Router::handle() takes it as const.

/** \name Events from callers
 * @{ */

/** \brief A caller asks for a completion. */
struct CompletionReceived {
    RequestId request;
    AccountId account;
    ModelId model;
    std::string prompt;
    std::uint32_t maximumTokens = 0;
    bool stream = false;
    std::int32_t priority = 0; ///< higher goes first within the account
    std::optional<Duration> deadline; ///< from now; the model's own applies when absent
    std::vector<std::string> received; ///< tokens that the caller already has, when it resumes

    bool operator==(const CompletionReceived&) const = default;
};

/** \brief A caller calls a plain service. */
struct CallReceived {
    RequestId request;
    AccountId account;
    ServiceCall call;
    std::optional<std::string> idempotencyKey;
    std::optional<Duration> deadline; ///< from now; the service's own applies when absent
    bool firstUse = false; ///< the caller says that it never sent the key before

    bool operator==(const CallReceived&) const = default;
};

/** \brief A caller asks for an idempotency key that this daemon runs without the platform. */
struct KeyRequested {
    RequestId request;
    AccountId account;
    std::optional<Duration> deadline; ///< from now; the answer comes at once

    bool operator==(const KeyRequested&) const = default;
};

/** \brief A caller closed its connection before its answer was complete. */
struct CallerDisconnected {
    RequestId request;

    bool operator==(const CallerDisconnected&) const = default;
};

/** @}
 * \name Events from endpoints
 * @{ */

/** \brief An engine answered a step. */
struct StepAnswered {
    EndpointId endpoint;
    StepReceipt receipt;

    bool operator==(const StepAnswered&) const = default;
};

/** \brief A step got no answer. */
struct StepFailed {
    EndpointId endpoint;
    RequestId request;
    std::uint32_t generation = 0;
    std::uint64_t sequence = 0;
    bool sent = false; ///< a byte of the step may have reached the engine

    bool operator==(const StepFailed&) const = default;
};

/** \brief A plain service answered a call. */
struct CallAnswered {
    EndpointId endpoint;
    RequestId request;
    std::uint32_t attempt = 0;
    ServiceAnswer answer;
    bool notRun = false; ///< the service said that the call did not run

    bool operator==(const CallAnswered&) const = default;
};

/** \brief A call to a plain service got no answer. */
struct CallFailed {
    EndpointId endpoint;
    RequestId request;
    std::uint32_t attempt = 0;
    bool sent = false; ///< a byte of the call may have reached the service

    bool operator==(const CallFailed&) const = default;
};

/** \brief An endpoint reported its load, and an engine the layers that it holds. */
struct EndpointReported {
    EndpointId endpoint;
    LoadReport load;
    std::optional<EngineRole> engine;

    bool operator==(const EndpointReported&) const = default;
};

/** \brief An endpoint did not answer a request for its status. */
struct EndpointPollFailed {
    EndpointId endpoint;

    bool operator==(const EndpointPollFailed&) const = default;
};

/** @}
 * \name Events from the platform
 * @{ */

/** \brief Records of a stream were read. */
struct RecordsRead {
    std::string stream;
    std::vector<LogRecord> records; ///< in the order of their offsets, without a gap
    LogOffset oldest = 0; ///< the oldest offset that the log still keeps
    LogOffset next = 0; ///< the offset that the next record will get or has

    bool operator==(const RecordsRead&) const = default;
};

/** \brief A stream could not be read. */
struct ReadFailed {
    std::string stream;

    bool operator==(const ReadFailed&) const = default;
};

/** \brief The log took the records of one AppendRecords. */
struct RecordsAppended {
    std::uint64_t append = 0;
    LogOffset first = 0; ///< offset of the first of the records

    bool operator==(const RecordsAppended&) const = default;
};

/** \brief An append got no answer or was refused. */
struct AppendFailed {
    std::uint64_t append = 0;
    bool sent = false; ///< the log may have taken the records

    bool operator==(const AppendFailed&) const = default;
};

/** \brief The platform's host list was read. */
struct HostsListed {
    std::vector<ListedHost> hosts;

    bool operator==(const HostsListed&) const = default;
};

/** \brief The platform's host list could not be read. */
struct HostListFailed {
    bool operator==(const HostListFailed&) const = default;
};

/** @}
 * \name Events from peers
 * @{ */

/** \brief A message came from another daemon. */
struct PeerMessageReceived {
    DaemonId from;
    PeerMessage message;

    bool operator==(const PeerMessageReceived&) const = default;
};

/** \brief A message could not be delivered to another daemon. */
struct PeerSendFailed {
    DaemonId peer;

    bool operator==(const PeerSendFailed&) const = default;
};

/** @}
 * \name Events of the process
 * @{ */

/** \brief Time has passed: at the latest when Router::nextWake() said. */
struct Tick {
    bool operator==(const Tick&) const = default;
};

/** \brief An operator asks for a graceful stop. */
struct StopRequested {
    bool operator==(const StopRequested&) const = default;
};

/** @} */

using Event = std::variant<
    CompletionReceived, CallReceived, KeyRequested, CallerDisconnected,
    StepAnswered, StepFailed, CallAnswered, CallFailed, EndpointReported, EndpointPollFailed,
    RecordsRead, ReadFailed, RecordsAppended, AppendFailed, HostsListed, HostListFailed,
    PeerMessageReceived, PeerSendFailed,
    Tick, StopRequested>;

}

#endif
