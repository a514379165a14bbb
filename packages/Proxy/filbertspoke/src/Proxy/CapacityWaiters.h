#ifndef FILBERTSPOKE_CAPACITY_WAITERS_H
#define FILBERTSPOKE_CAPACITY_WAITERS_H

#include <filbertspoke/Core>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <list>

namespace filbertspoke {

/** \brief FIFO queue of requests that wait for free capacity at the engines. */
class CapacityWaiters {
public:
    explicit CapacityWaiters(boost::asio::io_context& context)
        : context(context)
    {
    }

    /** \brief Suspends the caller until it is woken or \a limit has elapsed. */
    boost::asio::awaitable<void> wait(Duration limit);
    /** \brief Wakes the request that has waited longest and has not been woken yet. */
    void wakeOne();
    /** \brief Wakes all waiting requests. */
    void wakeAll();
    /** \returns the number of waiting requests */
    std::size_t size() const { return this->timers.size(); }

private:
    boost::asio::io_context& context;
    std::list<boost::asio::steady_timer> timers;
};

}

#endif
