#ifndef FILBERTSPOKE_ERROR_CODE_H
#define FILBERTSPOKE_ERROR_CODE_H

#include <string_view>
#include <system_error>

namespace filbertspoke {

/** \brief The errors that filbertspoke reports to callers, to operators or in its log.
 *
 * The enumerators convert to std::error_code; name() returns the code that callers see.
 */
enum class ErrorCode {
    // Invalid input.
    MalformedRequest = 1,
    BodyTooLarge,
    HeaderTimeout,
    UnknownAccount,
    UnknownModel,
    UnknownService,
    UnknownPath,
    MalformedKey,
    KeyExpired,
    KeyInFuture,
    KeyReused,
    // Refusals by policy.
    QueueFull,
    DeadlineUnreachable,
    AccountLimit,
    NotReady,
    Draining,
    ConfigurationUnavailable,
    RequestQuarantined,
    RequestMemoryExhausted,
    // Failures of endpoints, peers or the platform, and a caller that disconnected.
    NoEndpoint,
    NoPipeline,
    EndpointUnreachable,
    EndpointFailed,
    EndpointRejected,
    DeadlineExceeded,
    OutcomeUnknown,
    OutcomeNotKept,
    PlatformUnavailable,
    PeerUnreachable,
    CallerDisconnected,
    // Malformed records, settings and messages.
    MalformedSettings,
    MalformedQuestionnaire,
    MalformedRecord,
    UnsupportedVersion,
    HashMismatch,
    StaleBase,
    ApprovalMissing,
    ChangeRepeated,
    NameTaken,
    MalformedMessage,
    LogTruncated,
};

/** \returns the stable code in lower-case words with hyphens, for example "unknown-model" */
std::string_view name(ErrorCode code);

const std::error_category& errorCategory();

std::error_code make_error_code(ErrorCode code);

}

template <>
struct std::is_error_code_enum<filbertspoke::ErrorCode> : std::true_type {
};

#endif
