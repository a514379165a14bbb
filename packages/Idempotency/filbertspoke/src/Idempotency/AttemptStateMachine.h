#ifndef FILBERTSPOKE_ATTEMPT_STATE_MACHINE_H
#define FILBERTSPOKE_ATTEMPT_STATE_MACHINE_H

#include <memory>

namespace filbertspoke {

/** \brief Phase of an attempt that this process makes to run the action of a key. */
enum class AttemptPhase {
    Idle, ///< this process has no attempt
    Claiming, ///< the claim record was queued or sent and has not been read back from the log
    Held, ///< the claim was read back as the first of its attempt; the action was not sent
    Sent, ///< the action was sent to the service
    Finished, ///< the action ran; its OutcomeRecord is not yet confirmed in the log
    Unknown, ///< the action may have run; its UnknownRecord is not yet confirmed in the log
    Released, ///< the action did not run; its ReleaseRecord is not yet confirmed in the log
};

/** \brief State machine (Boost.MSM) of an attempt that this process makes to run the action of a key.
 *
 * Each function performs one transition and returns whether the current phase allows it; otherwise
 * the phase stays. Sent is reached only from Held, and Held only by a claim that was read back from
 * the log, so an action is sent at most once per attempt.
 */
class AttemptStateMachine {
public:
    AttemptStateMachine();
    AttemptStateMachine(AttemptStateMachine&&) noexcept;
    AttemptStateMachine& operator=(AttemptStateMachine&&) noexcept;
    ~AttemptStateMachine();

    /** \returns the current phase */
    AttemptPhase phase() const;

    /** \brief Idle to Claiming: a claim record was queued. */
    bool claim();
    /** \brief Claiming to Held: the first claim of the attempt in the log is this process's. */
    bool confirmClaim();
    /** \brief Claiming to Idle: another claim came first in the log. */
    bool loseClaim();
    /** \brief Held to Sent: the action is sent to the service. */
    bool send();
    /** \brief Sent to Finished: the service returned an outcome. */
    bool finish();
    /** \brief Sent to Unknown: whether the action ran cannot be determined. */
    bool fail();
    /** \brief Held, or Sent when it is proven that the action did not run, to Released. */
    bool release();
    /** \brief Finished, Unknown or Released to Idle: the record of the result was read back. */
    bool confirmStored();

private:
    struct Machine;
    std::unique_ptr<Machine> machine;
};

}

#endif
