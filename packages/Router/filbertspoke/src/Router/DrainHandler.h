#ifndef FILBERTSPOKE_DRAIN_HANDLER_H
#define FILBERTSPOKE_DRAIN_HANDLER_H

#include "Event.h"
#include "RouterContext.h"

#include <cstddef>
#include <memory>

namespace filbertspoke::internal {

/** \brief A graceful stop: from the request to stop to the end of the last request in progress.
 *
 * Serving → draining on the first StopRequested; draining → abandoning on the second, which comes
 * from an operator or from the drain limit; either → stopped once nothing is in progress.
 */
class DrainHandler {
public:
    /** \brief What the caller has to do about a StopRequested. */
    enum class Step {
        Drain, ///< let the requests in progress finish
        Abandon, ///< answer what remains
        None, ///< the stop is done already
    };

    explicit DrainHandler(RouterContext&);
    ~DrainHandler();

    Step handle(const StopRequested&, std::size_t inProgress, Actions&);
    /** \brief Writes a log line for each request that is refused in \a refusals. */
    void logAbandoned(const Actions& refusals, Actions&) const;
    /** \brief Ends the process when a stop has nothing left to wait for. */
    void settle(std::size_t inProgress, Actions&);

private:
    class Machine;

    RouterContext& context;
    std::unique_ptr<Machine> machine;
};

}

#endif
