#ifndef FILBERTSPOKE_AS_TUPLE_H
#define FILBERTSPOKE_AS_TUPLE_H

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace filbertspoke {

/** \brief Completion token that awaits an operation and returns a tuple of its error code and its results, instead of throwing. */
constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

}

#endif
