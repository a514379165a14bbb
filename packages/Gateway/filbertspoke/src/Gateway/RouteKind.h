#ifndef FILBERTSPOKE_ROUTE_KIND_H
#define FILBERTSPOKE_ROUTE_KIND_H

namespace filbertspoke {

/** \brief What may be repeated about a request, as its route says. */
enum class RouteKind {
    Idempotent, ///< may run any number of times
    NonIdempotent, ///< runs once at most
    Stream, ///< a generation; a new run may go on where a broken one ended when its route is resumable
};

}

#endif
