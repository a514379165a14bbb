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
class RouterParts;
}

/** \brief Everything that a daemon decides, as one object without input or output.
 *
 * The daemon feeds in what happened and carries out what comes back, in order:
 * \code
 * Actions actions = router.handle(CallerDisconnected { request }, now);
 * \endcode
 * The same events at the same times with the same seed give the same actions.
 * \sa Event, Action
 */
class Router {
public:
    /** \param seed starts the source of every random choice
     * \param planner chooses the chains */
    Router(DaemonIdentity, Random::result_type seed, Planner planner = Planner());
    ~Router();
    Router(Router&&) noexcept;

    /** \returns what the daemon has to do before the first event */
    Actions start(const Now&);

    /** \returns what has to be done about \a event */
    Actions handle(const Event& event, const Now&);

    /** \returns when a Tick is due at the latest; nothing when no time is awaited */
    std::optional<TimePoint> nextWake() const;

    RouterStatus status() const;

    /** \returns why a request was routed or refused so; nothing when it is unknown or too old */
    std::optional<RequestTrace> explain(const RequestId&) const;

private:
    std::unique_ptr<internal::RouterParts> parts;
};

}

#endif
