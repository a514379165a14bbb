#include "ErrorCode.h"

#include <string>

namespace filbertspoke {

std::string_view name(ErrorCode code)
{
    switch (code) {
    case ErrorCode::MalformedRequest:
        return "malformed-request";
    case ErrorCode::BodyTooLarge:
        return "body-too-large";
    case ErrorCode::HeaderTimeout:
        return "header-timeout";
    case ErrorCode::UnknownAccount:
        return "unknown-account";
    case ErrorCode::UnknownModel:
        return "unknown-model";
    case ErrorCode::UnknownService:
        return "unknown-service";
    case ErrorCode::UnknownPath:
        return "unknown-path";
    case ErrorCode::MalformedKey:
        return "malformed-key";
    case ErrorCode::KeyExpired:
        return "key-expired";
    case ErrorCode::KeyInFuture:
        return "key-in-future";
    case ErrorCode::KeyReused:
        return "key-reused";
    case ErrorCode::QueueFull:
        return "queue-full";
    case ErrorCode::DeadlineUnreachable:
        return "deadline-unreachable";
    case ErrorCode::AccountLimit:
        return "account-limit";
    case ErrorCode::NotReady:
        return "not-ready";
    case ErrorCode::Draining:
        return "draining";
    case ErrorCode::ConfigurationUnavailable:
        return "configuration-unavailable";
    case ErrorCode::RequestQuarantined:
        return "request-quarantined";
    case ErrorCode::RequestMemoryExhausted:
        return "request-memory-exhausted";
    case ErrorCode::NoEndpoint:
        return "no-endpoint";
    case ErrorCode::NoPipeline:
        return "no-pipeline";
    case ErrorCode::EndpointUnreachable:
        return "endpoint-unreachable";
    case ErrorCode::EndpointFailed:
        return "endpoint-failed";
    case ErrorCode::EndpointRejected:
        return "endpoint-rejected";
    case ErrorCode::DeadlineExceeded:
        return "deadline-exceeded";
    case ErrorCode::OutcomeUnknown:
        return "outcome-unknown";
    case ErrorCode::OutcomeNotKept:
        return "outcome-not-kept";
    case ErrorCode::PlatformUnavailable:
        return "platform-unavailable";
    case ErrorCode::PeerUnreachable:
        return "peer-unreachable";
    case ErrorCode::CallerDisconnected:
        return "caller-gone";
    case ErrorCode::MalformedSettings:
        return "malformed-settings";
    case ErrorCode::MalformedQuestionnaire:
        return "malformed-questionnaire";
    case ErrorCode::MalformedRecord:
        return "malformed-record";
    case ErrorCode::UnsupportedVersion:
        return "unsupported-version";
    case ErrorCode::HashMismatch:
        return "hash-mismatch";
    case ErrorCode::StaleBase:
        return "stale-base";
    case ErrorCode::ApprovalMissing:
        return "approval-missing";
    case ErrorCode::ChangeRepeated:
        return "change-repeated";
    case ErrorCode::NameTaken:
        return "name-taken";
    case ErrorCode::MalformedMessage:
        return "malformed-message";
    case ErrorCode::LogTruncated:
        return "log-truncated";
    }
    return "unknown-error";
}

namespace internal {

class ErrorCategory final : public std::error_category {
public:
    const char* name() const noexcept override { return "filbertspoke"; }
    std::string message(int value) const override { return std::string(filbertspoke::name(static_cast<ErrorCode>(value))); }
};

}

const std::error_category& errorCategory()
{
    static const internal::ErrorCategory category;
    return category;
}

std::error_code make_error_code(ErrorCode code)
{
    return { static_cast<int>(code), errorCategory() };
}

}
