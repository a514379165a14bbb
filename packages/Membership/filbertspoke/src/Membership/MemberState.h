#ifndef FILBERTSPOKE_MEMBER_STATE_H
#define FILBERTSPOKE_MEMBER_STATE_H

#include <string_view>

namespace filbertspoke {

/** \brief What is held of an endpoint or of a peer daemon. Only an alive one takes new work.
 *
 * Within one incarnation of a daemon a later state overrides an earlier one.
 */
enum class MemberState {
    Alive = 1,
    Suspect, ///< not heard yet, or it missed an answer
    Leaving, ///< some sign says that it goes; what runs there may finish
    Gone, ///< silent for too long
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
