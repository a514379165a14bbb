#ifndef FILBERTSPOKE_CAPACITY_WAITERS_H
#define FILBERTSPOKE_CAPACITY_WAITERS_H

#include <filbertspoke/Core>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <list>

namespace filbertspoke {

/** \brief Requests that wait for room at an engine, first come first served. */
class CapacityWaiters {
public:
    explicit CapacityWaiters(boost::asio::io_context& context)
        : context(context)
    {
    }

    /** \brief Waits until room may have come free, or for \a limit. */
    boost::asio::awaitable<void> wait(Duration limit);
    /** \brief Wakes the request that has waited longest. */
    void wakeOne();
    /** \brief Wakes all that wait. */
    void wakeAll();
    std::size_t size() const { return this->timers.size(); }

private:
    boost::asio::io_context& context;
    std::list<boost::asio::steady_timer> timers;
};

}

#endif
