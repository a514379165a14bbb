#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

#include <algorithm>

namespace filbertspoke {

namespace asio = boost::asio;

namespace {

// The head looks for changes of capacity this often, because this daemon is not notified when other daemons' work ends.
constexpr Duration headPollInterval = CapacityQueue::minimumRound;
// Generations behind the head check this often whether their endpoints refuse requests for longer than they can wait. They don't plan then.
constexpr Duration checkInterval = std::chrono::milliseconds(200);

}

CapacityWaiters::Ticket CapacityWaiters::enter(const WaitingGeneration& generation)
{
    const Ticket ticket = this->queue.enter(generation);
    this->timers.emplace(ticket, this->context);
    return ticket;
}

void CapacityWaiters::leave(Ticket ticket)
{
    const ServiceId service = this->queue.generation(ticket).service;
    this->queue.leave(ticket);
    this->timers.erase(ticket);
    this->wakeNext(service);
}

void CapacityWaiters::start(Ticket ticket)
{
    const ServiceId service = this->queue.generation(ticket).service;
    this->queue.start(ticket);
    this->timers.erase(ticket);
    this->wakeNext(service);
}

bool CapacityWaiters::mayPlan(Ticket ticket, std::uint64_t capacityRevision, TimePoint now)
{
    const ServiceId& service = this->queue.generation(ticket).service;
    this->queue.beginRound(service, capacityRevision, now);
    return this->queue.next(service) == ticket;
}

asio::awaitable<void> CapacityWaiters::wait(Ticket ticket, Duration limit, TimePoint now)
{
    const ServiceId& service = this->queue.generation(ticket).service;
    this->wakeNext(service);
    Duration pause = checkInterval;
    if (this->queue.head(service) == ticket) {
        const Duration untilRound = this->queue.nextRoundAt(service) - now;
        pause = untilRound > Duration::zero() ? std::min(untilRound, headPollInterval) : headPollInterval;
    }
    asio::steady_timer& timer = this->timers.at(ticket);
    timer.expires_after(std::min(limit, pause));
    co_await timer.async_wait(asTuple);
}

void CapacityWaiters::wakeNext(const ServiceId& service)
{
    if (const auto ticket = this->queue.next(service))
        this->timers.at(*ticket).cancel();
}

void CapacityWaiters::wakeHeads()
{
    for (const Ticket ticket : this->queue.heads())
        this->timers.at(ticket).cancel();
}

void CapacityWaiters::wakeAll()
{
    for (auto& [ticket, timer] : this->timers)
        timer.cancel();
}

}
