#ifndef FILBERTSPOKE_ATTEMPT_STATE_MACHINE_H
#define FILBERTSPOKE_ATTEMPT_STATE_MACHINE_H

#include <memory>

namespace filbertspoke {

/** \brief Where this process stands with its own attempt at a key. */
enum class AttemptPhase {
    Idle, ///< no attempt of its own
    Claiming, ///< the claim may be in the log or not
    Held, ///< the claim was read back as the first; nothing was sent
    Sent,
    Finished, ///< ran; the outcome is on its way to the log
    Unknown, ///< may have run; that is on its way to the log
    Released, ///< did not run and will not; that is on its way to the log
};

/** \brief The states of this process's own attempt at a key, as a Boost.MSM state machine.
 *
 * Each function takes one transition and returns whether the phase allows it. Sent is entered
 * from Held only, and Held from a claim that was read back only.
 */
class AttemptStateMachine {
public:
    AttemptStateMachine();
    AttemptStateMachine(AttemptStateMachine&&) noexcept;
    AttemptStateMachine& operator=(AttemptStateMachine&&) noexcept;
    ~AttemptStateMachine();

    AttemptPhase phase() const;

    /** \brief Idle to Claiming. */
    bool claim();
    /** \brief Claiming to Held: the log's first claim of the attempt is this process's. */
    bool confirmClaim();
    /** \brief Claiming to Idle: another's claim was first. */
    bool loseClaim();
    /** \brief Held to Sent. */
    bool send();
    /** \brief Sent to Finished. */
    bool finish();
    /** \brief Sent to Lost. */
    bool fail();
    /** \brief Held, or Sent where it is proved that nothing ran, to Released. */
    bool release();
    /** \brief Finished, Lost or Released to Idle: the log has the record. */
    bool confirmStored();

private:
    struct Machine;
    std::unique_ptr<Machine> machine;
};

}

#endif
