#ifndef FILBERTSPOKE_INTERNAL_QUEUE_PLACE_H
#define FILBERTSPOKE_INTERNAL_QUEUE_PLACE_H

#include "../CapacityWaiters.h"

#include <optional>
#include <utility>

namespace filbertspoke::internal {

/** \brief RAII place of a generation in the queue for capacity, so that a generation that is given up leaves it at once. */
class QueuePlace {
public:
    QueuePlace(CapacityWaiters& waiters, const WaitingGeneration& generation)
        : waiters(waiters)
        , place(waiters.enter(generation))
    {
    }

    ~QueuePlace()
    {
        if (this->place)
            this->waiters.leave(*this->place);
    }

    QueuePlace(const QueuePlace&) = delete;
    QueuePlace& operator=(const QueuePlace&) = delete;

    /** \returns the place; only before start() */
    CapacityWaiters::Ticket ticket() const { return *this->place; }

    /** \brief Leaves the queue because a chain was found. */
    void start() { this->waiters.start(*std::exchange(this->place, std::nullopt)); }

private:
    CapacityWaiters& waiters;
    std::optional<CapacityWaiters::Ticket> place;
};

}

#endif
