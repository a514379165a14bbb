#ifndef FILBERTSPOKE_ADMISSION_REQUEST_H
#define FILBERTSPOKE_ADMISSION_REQUEST_H

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <variant>

namespace filbertspoke {

/** \brief What requests compete for: the engines of a model, or the replicas of a plain service. */
using AdmissionPool = std::variant<ModelId, ServiceId>;

/** \brief A request that asks to be started. */
struct AdmissionRequest {
    RequestId request;
    AccountId account;
    std::int32_t priority = 0; ///< higher goes first within the account
    TimePoint deadline; ///< the answer is worth nothing when it is whole later
    double cost = 1; ///< work that it takes, in tokens for completions
    AdmissionPool pool {};

    auto operator<=>(const AdmissionRequest&) const = default;
};

/** \brief The request starts now. It is ended by AdmissionController::finished(). */
struct Admitted {
    auto operator<=>(const Admitted&) const = default;
};

/** \brief The request waits; AdmissionController::finished() or AdmissionController::expire() names it later. */
struct Queued {
    Duration expectedWait {};

    auto operator<=>(const Queued&) const = default;
};

/** \brief A request that AdmissionController gave up on, with its final answer. */
struct RefusedRequest {
    RequestId request;
    Refusal refusal;

    bool operator==(const RefusedRequest&) const = default;
};

}

#endif
