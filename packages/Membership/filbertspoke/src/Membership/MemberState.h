#ifndef FILBERTSPOKE_MEMBER_STATE_H
#define FILBERTSPOKE_MEMBER_STATE_H

#include <string_view>

namespace filbertspoke {

/** \brief State of an endpoint or peer daemon. Only an alive endpoint gets new work.
 *
 * Within one incarnation of a daemon a later state overrides an earlier one.
 */
enum class MemberState {
    Alive = 1,
    Suspect, ///< not heard from yet, missed an answer, or could not be reached
    Leaving, ///< draining or about to stop; running requests may finish
    Gone, ///< unresponsive for too long
};

/** \returns "alive", "suspect", "leaving" or "gone" */
constexpr std::string_view name(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Gone:
        return "gone";
    }
    return "gone";
}

}

#endif
