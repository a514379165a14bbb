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

/** \brief Gives the caller the next token of its completion. */
struct EmitToken {
    RequestId request;
    std::uint32_t index = 0; ///< from 0, without a gap over the whole request
    std::string text;

    bool operator==(const EmitToken&) const = default;
};

/** \brief Ends a completion that is whole. */
struct CompleteRequest {
    RequestId request;
    std::string finishReason; ///< "length" or "stop"

    bool operator==(const CompleteRequest&) const = default;
};

/** \brief Gives the caller of a plain service its answer. */
struct AnswerCall {
    RequestId request;
    ServiceAnswer answer;
    std::optional<std::string> idempotencyKey {}; ///< with which the caller may ask again, when the daemon made it

    bool operator==(const AnswerCall&) const = default;
};

/** \brief Ends a request that is not served, or not served whole. */
struct RefuseRequest {
    RequestId request;
    Refusal refusal;
    std::optional<std::string> idempotencyKey {}; ///< with which the caller may ask again, when the daemon made it

    bool operator==(const RefuseRequest&) const = default;
};

/** @}
 * \name Actions towards endpoints
 * @{ */

/** \brief Sends a step to an engine; steps to one engine may travel in one frame. */
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

/** \brief Starts to poll an endpoint's status, or changes where it is found. */
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
    std::uint64_t append = 0; ///< names the append in RecordsAppended and AppendFailed
    std::string stream;
    std::vector<std::string> payloads;

    bool operator==(const AppendRecords&) const = default;
};

/** \brief Reads a stream from an offset on, at once. */
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
    std::string event; ///< what happened, in lower-case words with hyphens
    std::vector<std::pair<std::string, std::string>> fields;

    bool operator==(const WriteLog&) const = default;
};

/** \brief Adds to a counter on the metrics page. */
struct CountMetric {
    std::string metric; ///< without the prefix "filbertspoke_"
    std::string label; ///< value of the label "kind", or empty

    bool operator==(const CountMetric&) const = default;
};

/** \brief Ends the process: a graceful stop has nothing left to wait for. */
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

/** \brief What Router::handle() wants done, in this order. */
using Actions = std::vector<Action>;

}

#endif
