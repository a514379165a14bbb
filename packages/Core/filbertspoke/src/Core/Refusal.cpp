#include "Refusal.h"

namespace filbertspoke {

unsigned httpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::MalformedRequest:
    case ErrorCode::MalformedKey:
    case ErrorCode::KeyExpired:
    case ErrorCode::KeyInFuture:
        return 400;
    case ErrorCode::UnknownAccount:
        return 403;
    case ErrorCode::UnknownModel:
    case ErrorCode::UnknownService:
    case ErrorCode::UnknownPath:
        return 404;
    case ErrorCode::HeaderTimeout:
        return 408;
    case ErrorCode::KeyReused:
        return 409;
    case ErrorCode::BodyTooLarge:
        return 413;
    case ErrorCode::AccountLimit:
    case ErrorCode::QueueFull:
        return 429;
    case ErrorCode::EndpointFailed:
    case ErrorCode::EndpointRejected:
    case ErrorCode::OutcomeUnknown:
    case ErrorCode::OutcomeNotKept:
        return 502;
    case ErrorCode::DeadlineExceeded:
        return 504;
    default:
        return 503;
    }
}

}
