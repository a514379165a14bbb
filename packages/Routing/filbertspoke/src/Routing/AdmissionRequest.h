#ifndef FILBERTSPOKE_ADMISSION_REQUEST_H
#define FILBERTSPOKE_ADMISSION_REQUEST_H

#include <filbertspoke/Core>

#include <compare>
#include <cstdint>
#include <variant>

namespace filbertspoke {

/** \brief The capacity that requests share: the engines of a model or the replicas of a plain service. */
using AdmissionPool = std::variant<ModelId, ServiceId>;

/** \brief A request for admission. */
struct AdmissionRequest {
    RequestId request;
    AccountId account;
    std::int32_t priority = 0; ///< higher values start first within the account
    TimePoint deadline; ///< time by which the whole answer is due; a later one is useless
    double cost = 1; ///< expected work; in tokens for completions
    AdmissionPool pool {};

    auto operator<=>(const AdmissionRequest&) const = default;
};

/** \brief The request starts now; AdmissionController::finished() or cancel() ends it. */
struct Admitted {
    auto operator<=>(const Admitted&) const = default;
};

/** \brief The request waits until a later call of AdmissionController returns it as started or expired. */
struct Queued {
    Duration expectedWait {};

    auto operator<=>(const Queued&) const = default;
};

/** \brief A waiting request that AdmissionController::expire() removed, with its refusal. */
struct RefusedRequest {
    RequestId request;
    Refusal refusal;

    bool operator==(const RefusedRequest&) const = default;
};

}

#endif
