#ifndef FILBERTSPOKE_CAPACITY_QUEUE_H
#define FILBERTSPOKE_CAPACITY_QUEUE_H

#include <filbertspoke/Core>
#include <filbertspoke/Routing>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief A generation that waits for a chain with free capacity. */
struct WaitingGeneration {
    ServiceId service;
    AccountId account; ///< empty for requests without an account
    std::optional<std::uint32_t> priority; ///< 0 is the most urgent; nothing when the configuration names none
    double tokens = 0; ///< prompt and expected output
    bool begun = false; ///< whether the caller has a part of the stream already
    bool restricted = false; ///< whether earlier attempts exclude endpoints that others may use

    auto operator<=>(const WaitingGeneration&) const = default;
};

/** \brief Orders the generations that wait for capacity at one gateway, and decides which of them may plan a chain now.
 *
 * Load pattern: demand is well over capacity for some seconds, one large account sends several times its usual load, and the generations have
 * three priorities. Planning takes 1 to 2 ms of a whole core, and a gateway may have 0.12 cores, so that not every waiting generation can plan
 * after each change of capacity.
 *
 * The generations of a service are ordered: streams that have begun first, then by priority, within a priority by weighted fair queueing over
 * the accounts (a generation costs its tokens), then by arrival. With one priority and one account the order is first in, first out.
 *
 * Changes of capacity are grouped into planning rounds. In a round the head plans; when it starts, the next one is the head. Once the head has
 * found no chain, at most three others plan, and only those that need fewer tokens than each generation before them that found none. What a
 * restricted generation finds says nothing about the others, and at most two restricted ones find no chain in a round.
 *
 * Does no input or output.
 */
class CapacityQueue {
public:
    /** \brief Identifies a waiting generation; request identifiers may repeat. */
    using Ticket = std::uint64_t;

    /** \brief Changes of capacity within this time share a planning round, because other daemons report their work many times a second. */
    static constexpr Duration minimumRound = std::chrono::milliseconds(40);
    /** \brief A new planning round begins at least this often, because nothing reports that an engine is no longer avoided. */
    static constexpr Duration maximumRound = std::chrono::milliseconds(200);

    /** \brief Adds a generation. */
    Ticket enter(const WaitingGeneration&);
    /** \brief Removes a generation that doesn't wait any more; no effect when it is not in the queue. */
    void leave(Ticket);
    /** \brief Removes a generation that found a chain, and charges its account. */
    void start(Ticket);
    /** \brief Sets whether the generation waits only for a rate limit. It then neither plans nor blocks others, and keeps its place. */
    void setPaused(Ticket, bool paused);
    /** \brief Records that the generation found no chain. */
    void notePlanFailed(Ticket);
    /** \brief Begins a planning round of the service if one is due.
     * \param capacityRevision differs from earlier values when capacity may have been released since */
    void beginRound(const ServiceId&, std::uint64_t capacityRevision, TimePoint now);

    /** \returns the generation that may plan now, or nothing until the next round */
    std::optional<Ticket> next(const ServiceId&) const;
    /** \returns the first generation in the order that is not paused, or nothing */
    std::optional<Ticket> head(const ServiceId&) const;
    /** \returns the head of each service */
    std::vector<Ticket> heads() const;
    /** \returns the generation; the ticket must be in the queue */
    const WaitingGeneration& generation(Ticket ticket) const { return this->waiters.at(ticket).generation; }
    /** \returns the time at which a change of capacity lets the service's next round begin */
    TimePoint nextRoundAt(const ServiceId&) const;
    /** \returns the number of waiting generations */
    std::size_t size() const { return this->waiters.size(); }

private:
    struct Waiter {
        WaitingGeneration generation;
        AdmissionRequest admission; ///< the generation in its fair queue
        bool paused = false;
        bool planFailed = false; ///< in the current round
    };

    /** \brief Whether the stream has not begun, and its priority. */
    using Rank = std::pair<bool, std::uint32_t>;

    struct Service {
        std::map<Rank, FairQueue> queues;
        std::uint64_t capacityRevision = 0;
        TimePoint roundBegan;
        int plansBehindHead = 0; ///< in the current round
        int restrictedFailures = 0; ///< in the current round
        mutable std::optional<std::vector<Ticket>> order; ///< without paused generations; computed when needed
    };

    static Rank rankOf(const WaitingGeneration&);
    const std::vector<Ticket>& orderOf(const ServiceId&, const Service&) const;
    /** \brief Counts a plan against the limits of the round. */
    void countPlan(Service&, Ticket);

    std::map<Ticket, Waiter> waiters;
    std::map<ServiceId, Service> services;
    Ticket nextTicket = 1;
};

}

#endif
