#ifndef FILBERTSPOKE_AS_TUPLE_H
#define FILBERTSPOKE_AS_TUPLE_H

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace filbertspoke {

/** \brief Awaits an operation and returns its error as a value, with its other results. */
constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

}

#endif
