#ifndef FILBERTSPOKE_INTERNAL_AWAITING_H
#define FILBERTSPOKE_INTERNAL_AWAITING_H

#include <filbertspoke/Core>
#include <filbertspoke/Http>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace filbertspoke::internal {

/** \brief Suspends the calling coroutine for the duration. */
inline boost::asio::awaitable<void> sleepFor(boost::asio::io_context& context, Duration duration)
{
    boost::asio::steady_timer timer(context, duration);
    co_await timer.async_wait(asTuple);
}

}

#endif
