#ifndef FILBERTSPOKE_UPSTREAM_POOL_H
#define FILBERTSPOKE_UPSTREAM_POOL_H

#include "UpstreamConnection.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace filbertspoke {

/** \brief Shared ownership of a connection by an attempt and the coroutines that may close it. */
using UpstreamPointer = std::shared_ptr<UpstreamConnection>;

/** \brief Connections, which need not exist any more. */
using UpstreamSet = std::set<std::weak_ptr<UpstreamConnection>, std::owner_less<>>;

/** \brief Pool of idle connections to endpoints. */
class UpstreamPool {
public:
    explicit UpstreamPool(boost::asio::io_context& context)
        : context(context)
    {
    }

    /** \returns an idle connection to the address that is still usable and not \a excluded, or nullptr */
    UpstreamPointer takeIdle(const SocketAddress&, const UpstreamSet& excluded);
    /** \returns a new connection, which is not connected yet */
    UpstreamPointer create(const SocketAddress&);
    /** \brief Returns a connection to the pool if it is reusable and the pool has space for it, and closes it otherwise. */
    void giveBack(const SocketAddress&, UpstreamPointer);
    /** \brief Closes the connections whose idle time has expired. */
    void expire(TimePoint now);

private:
    struct Idle {
        UpstreamPointer connection;
        TimePoint closesAt;
    };

    boost::asio::io_context& context;
    std::map<SocketAddress, std::deque<Idle>> idleByAddress;
};

}

#endif
