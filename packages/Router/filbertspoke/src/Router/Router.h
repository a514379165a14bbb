#ifndef FILBERTSPOKE_ROUTER_H
#define FILBERTSPOKE_ROUTER_H

#include "Action.h"
#include "DaemonIdentity.h"
#include "Event.h"
#include "RequestTrace.h"
#include "RouterStatus.h"

#include <filbertspoke/Core>
#include <filbertspoke/Routing>

#include <memory>
#include <optional>

namespace filbertspoke {

namespace internal {
class RouterImpl;
}

/** \brief The decision logic of a daemon, as one object that does no input or output.
 *
 * The daemon passes in each event and carries out the returned actions in order:
 * \code
 * Actions actions = router.handle(CallerDisconnected { request }, now);
 * \endcode
 * The same events at the same times with the same seed give the same actions.
 * \sa Event, Action
 */
class Router {
public:
    /** \param seed seed of all random choices
     * \param planner chooses the chains of completions */
    Router(DaemonIdentity, Random::result_type seed, Planner planner = Planner());
    ~Router();
    Router(Router&&) noexcept;

    /** \returns the actions to carry out before the first event */
    Actions start(const Now&);

    /** \returns the actions that follow from \a event */
    Actions handle(const Event& event, const Now&);

    /** \returns the time by which a Tick must be delivered, or nothing if no timer is pending */
    std::optional<TimePoint> nextWake() const;

    RouterStatus status() const;

    /** \returns the routing decisions on a request, or nothing if it is unknown or no longer kept */
    std::optional<RequestTrace> explain(const RequestId&) const;

private:
    std::unique_ptr<internal::RouterImpl> impl;
};

}

#endif
