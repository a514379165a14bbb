#ifndef FILBERTSPOKE_CAPACITY_WAITERS_H
#define FILBERTSPOKE_CAPACITY_WAITERS_H

#include <filbertspoke/Core>
#include <filbertspoke/Gateway>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace filbertspoke {

/** \brief Suspends the generations that wait for free capacity at the engines, and wakes the one that may plan a chain by the CapacityQueue. */
class CapacityWaiters {
public:
    using Ticket = CapacityQueue::Ticket;

    explicit CapacityWaiters(boost::asio::io_context& context)
        : context(context)
    {
    }

    /** \brief Adds a generation to the queue. */
    Ticket enter(const WaitingGeneration&);
    /** \brief Removes a generation from the queue, and wakes the one that may plan instead. */
    void leave(Ticket);
    /** \brief The same for a generation that found a chain: its account is charged. */
    void start(Ticket);
    /** \brief Sets whether the generation waits only for a rate limit. */
    void setPaused(Ticket ticket, bool paused) { this->queue.setPaused(ticket, paused); }
    /** \brief Records that the generation found no chain. */
    void notePlanFailed(Ticket ticket) { this->queue.notePlanFailed(ticket); }
    /** \returns whether the generation may plan a chain now
     * \param capacityRevision differs from earlier values when capacity may have been released since */
    bool mayPlan(Ticket, std::uint64_t capacityRevision, TimePoint now);

    /** \brief Suspends a generation that may not plan now until it may, or its conditions should be checked again, but not longer than \a limit. */
    boost::asio::awaitable<void> wait(Ticket, Duration limit, TimePoint now);
    /** \brief Wakes the head of the queue of each service, because capacity was released. */
    void wakeHeads();
    /** \brief Wakes all waiting generations, because one of them may have to end or to leave for another gateway. */
    void wakeAll();
    /** \returns the number of waiting generations */
    std::size_t size() const { return this->queue.size(); }

private:
    void wakeNext(const ServiceId&);

    boost::asio::io_context& context;
    CapacityQueue queue;
    std::map<Ticket, boost::asio::steady_timer> timers;
};

}

#endif
