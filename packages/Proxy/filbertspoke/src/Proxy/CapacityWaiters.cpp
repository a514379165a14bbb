#include <filbertspoke/Proxy>

#include "internal/Awaiting.h"

namespace filbertspoke {

namespace asio = boost::asio;

asio::awaitable<void> CapacityWaiters::wait(Duration limit)
{
    const auto timer = this->timers.emplace(this->timers.end(), this->context, limit);
    co_await timer->async_wait(asTuple);
    this->timers.erase(timer);
}

void CapacityWaiters::wakeOne()
{
    for (asio::steady_timer& timer : this->timers) {
        if (timer.cancel() > 0)
            return;
    }
}

void CapacityWaiters::wakeAll()
{
    for (asio::steady_timer& timer : this->timers)
        timer.cancel();
}

}
