#ifndef FILBERTSPOKE_ROUTE_KIND_H
#define FILBERTSPOKE_ROUTE_KIND_H

namespace filbertspoke {

/** \brief How often a request may run, as configured for its route. */
enum class RouteKind {
    Idempotent, ///< may run any number of times
    NonIdempotent, ///< may run at most once
    Stream, ///< a generation; if the route is resumable, another run may continue a broken stream
};

}

#endif
