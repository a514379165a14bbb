#ifndef FILBERTSPOKE_STORE_FOLLOWER_H
#define FILBERTSPOKE_STORE_FOLLOWER_H

#include "GatewayContext.h"

#include <boost/asio/awaitable.hpp>

namespace filbertspoke {

/** \brief Keeps the configuration and the endpoint registry in sync with the platform's store, and the store with the quarantine. */
class StoreFollower {
public:
    explicit StoreFollower(GatewayContext& context)
        : context(context)
    {
    }

    /** \brief Starts to follow the collections of the store. */
    void start();

private:
    /** \brief Where to continue to read a collection. */
    struct Position {
        LogOffset next = 0;
        std::optional<StoreEra> era; ///< in which the offset was assigned
    };

    boost::asio::awaitable<void> follow(StoreCollection);
    /** \brief Reads the quarantined traits once in each era of the store, and writes changes to them while this daemon is a hub. */
    boost::asio::awaitable<void> keepQuarantine();
    /** \returns whether the store has the changes */
    boost::asio::awaitable<bool> writeQuarantine(HttpConnection&);
    void applyQuarantine(const std::vector<StoreRecord>&);
    boost::asio::awaitable<std::optional<Position>> readSnapshot(HttpConnection&, StoreCollection);
    boost::asio::awaitable<std::error_code> readChanges(HttpConnection&, StoreCollection, Position&);
    boost::asio::awaitable<Result<HttpResponse>> call(HttpConnection&, HttpRequest, Duration timeout);
    void apply(StoreCollection, const std::vector<StoreRecord>&);
    void applySnapshot(StoreCollection, const std::vector<StoreRecord>&);
    std::optional<RegisteredEndpoint> readEndpoint(const StoreRecord&);
    void noteReachable(bool reachable, const std::string& reason);

    GatewayContext& context;
    bool storeReachable = true;
    StoredQuarantine storedQuarantine;
};

}

#endif
