#ifndef FILBERTSPOKE_SOAK_CALLER_H
#define FILBERTSPOKE_SOAK_CALLER_H

#include "SoakSite.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace filbertspoke::soak {

/** \brief A caller that sends one request after the other, on one connection for as long as that stays open. */
class SoakCaller {
public:
    SoakCaller(boost::asio::io_context&, SoakSite&, SoakRecord&, std::string name, std::uint64_t seed);

    /** \brief Sends requests until \a stop is set. */
    boost::asio::awaitable<void> run(const bool& stop);
    /** \brief Sends one request over a new connection.
     * \returns what came of it; status 0 when the gateway can't be reached */
    boost::asio::awaitable<CallRecord> callOnce(CallKind, std::size_t gateway);

private:
    boost::asio::awaitable<bool> connect(std::size_t gateway);
    boost::asio::awaitable<CallRecord> call(CallKind, std::size_t gateway);

    boost::asio::io_context& context;
    SoakSite& site;
    SoakRecord& record;
    std::string name;
    std::mt19937_64 random;
    std::optional<boost::beast::tcp_stream> stream; ///< empty when it has to connect anew
    boost::beast::flat_buffer buffer;
    unsigned sent = 0;
};

}

#endif
