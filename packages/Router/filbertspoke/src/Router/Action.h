#ifndef FILBERTSPOKE_ACTION_H
#define FILBERTSPOKE_ACTION_H

#include "ServiceCall.h"

#include <filbertspoke/Core>
#include <filbertspoke/Membership>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace filbertspoke {

/** \name Actions towards callers
 * @{ */

/** \brief Sends the caller the next token of its completion. */
struct EmitToken {
    RequestId request;
    std::uint32_t index = 0; ///< consecutive over the whole request, from 0
    std::string text;

    bool operator==(const EmitToken&) const = default;
};

/** \brief Ends a completion whose tokens have all been emitted. */
struct CompleteRequest {
    RequestId request;
    std::string finishReason; ///< "length" or "stop"

    bool operator==(const CompleteRequest&) const = default;
};

/** \brief Sends the caller of a plain service its answer. */
struct AnswerCall {
    RequestId request;
    ServiceAnswer answer;
    std::optional<std::string> idempotencyKey {}; ///< for retries by the caller; set when a daemon generated the key

    bool operator==(const AnswerCall&) const = default;
};

/** \brief Ends a request that is not served, or not served completely. */
struct RefuseRequest {
    RequestId request;
    Refusal refusal;
    std::optional<std::string> idempotencyKey {}; ///< for retries by the caller; set when a daemon generated the key

    bool operator==(const RefuseRequest&) const = default;
};

/** @}
 * \name Actions towards endpoints
 * @{ */

/** \brief Sends a step to an engine; several steps to one engine may be sent in one frame. */
struct SendStep {
    EndpointId endpoint;
    Step step;

    bool operator==(const SendStep&) const = default;
};

/** \brief Tells an engine to drop a request and its KV cache. */
struct CancelSteps {
    EndpointId endpoint;
    RequestId request;

    bool operator==(const CancelSteps&) const = default;
};

/** \brief Sends a call to a replica of a plain service. */
struct SendCall {
    EndpointId endpoint;
    RequestId request;
    std::uint32_t attempt = 0;
    ServiceCall call;

    bool operator==(const SendCall&) const = default;
};

/** \brief Closes the connection of a call whose answer is no longer wanted. */
struct CancelCall {
    EndpointId endpoint;
    RequestId request;
    std::uint32_t attempt = 0;

    bool operator==(const CancelCall&) const = default;
};

/** \brief Starts polling an endpoint's status, or updates its address. */
struct WatchEndpoint {
    Endpoint endpoint;

    bool operator==(const WatchEndpoint&) const = default;
};

/** \brief Stops polling an endpoint and closes its idle connections. */
struct UnwatchEndpoint {
    EndpointId endpoint;

    bool operator==(const UnwatchEndpoint&) const = default;
};

/** @}
 * \name Actions towards the platform
 * @{ */

/** \brief Appends records to a stream, together and in order. */
struct AppendRecords {
    std::uint64_t append = 0; ///< id of the append, repeated in RecordsAppended and AppendFailed
    std::string stream;
    std::vector<std::string> payloads;

    bool operator==(const AppendRecords&) const = default;
};

/** \brief Reads a stream immediately, starting at an offset. */
struct ReadRecords {
    std::string stream;
    LogOffset from = 0;

    bool operator==(const ReadRecords&) const = default;
};

/** @}
 * \name Actions towards peers
 * @{ */

/** \brief Sends a message to another daemon. */
struct SendToPeer {
    ListedDaemon peer;
    PeerMessage message;

    bool operator==(const SendToPeer&) const = default;
};

/** @}
 * \name Actions of the process
 * @{ */

/** \brief Writes one line to the log. */
struct WriteLog {
    enum class Level {
        Info,
        Warning,
        Error,
    };

    Level level = Level::Info;
    std::string event; ///< name of the event, in lower-case words with hyphens
    std::vector<std::pair<std::string, std::string>> fields;

    bool operator==(const WriteLog&) const = default;
};

/** \brief Increments a counter of the metrics page. */
struct CountMetric {
    std::string metric; ///< without the prefix "filbertspoke_"
    std::string label; ///< value of the label, or empty for none
    std::string labelName = "kind";

    bool operator==(const CountMetric&) const = default;
};

/** \brief Ends the process after a graceful stop. */
struct StopProcess {
    bool operator==(const StopProcess&) const = default;
};

/** @} */

using Action = std::variant<
    EmitToken, CompleteRequest, AnswerCall, RefuseRequest,
    SendStep, CancelSteps, SendCall, CancelCall, WatchEndpoint, UnwatchEndpoint,
    AppendRecords, ReadRecords,
    SendToPeer,
    WriteLog, CountMetric, StopProcess>;

/** \brief The actions that Router::handle() returns, to be carried out in order. */
using Actions = std::vector<Action>;

}

#endif
