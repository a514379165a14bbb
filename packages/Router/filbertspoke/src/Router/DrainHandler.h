#ifndef FILBERTSPOKE_DRAIN_HANDLER_H
#define FILBERTSPOKE_DRAIN_HANDLER_H

#include "Event.h"
#include "RouterContext.h"

#include <cstddef>
#include <memory>

namespace filbertspoke::internal {

/** \brief Handles a graceful stop, from the first StopRequested until the last request in progress has ended.
 *
 * Serving → draining on the first StopRequested; draining → abandoning on the second, which comes from an
 * operator or from the drain time limit; draining or abandoning → stopped once nothing is in progress.
 */
class DrainHandler {
public:
    /** \brief What has to happen to the requests in progress after a StopRequested. */
    enum class Directive {
        Drain, ///< let them finish
        Abandon, ///< refuse them
        None, ///< nothing; the requests are already abandoned or the stop is complete
    };

    explicit DrainHandler(RouterContext&);
    ~DrainHandler();

    Directive handle(const StopRequested&, std::size_t inProgress, Actions&);
    /** \brief Logs each request that is refused in \a refusals. */
    void logAbandoned(const Actions& refusals, Actions&) const;
    /** \brief Stops the process if a stop was requested and no request is in progress. */
    void stopWhenIdle(std::size_t inProgress, Actions&);

private:
    class Machine;

    RouterContext& context;
    std::unique_ptr<Machine> machine;
};

}

#endif
