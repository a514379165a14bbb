#ifndef FILBERTSPOKE_LOG_STAND_IN_H
#define FILBERTSPOKE_LOG_STAND_IN_H

#include <filbertspoke/Http>

#include <filbertspoke/Core>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace filbertspoke {

/** \brief Plays the platform's log with named streams, and its host list. */
class LogStandIn {
public:
    /** \param retention the most records a stream keeps; 0 for all */
    LogStandIn(boost::asio::io_context&, const HttpAddress&, std::size_t retention = 0);

    HttpAddress address() const { return this->server.address(); }

private:
    using Answer = boost::asio::awaitable<std::optional<HttpResponse>>;

    struct Stream {
        std::deque<std::string> records;
        LogOffset first = 1; ///< offset of records.front()
        bool truncated = false;

        LogOffset next() const { return this->first + this->records.size(); }
    };

    struct Faults {
        bool down = false;
        bool streamsDown = false; ///< the host list still answers
        std::chrono::milliseconds delay {};
        std::uint32_t lostAppendAnswers = 0;
        bool rejectAppends = false;
    };

    Answer answer(HttpRequest);
    Answer append(std::string stream, std::string body);
    Answer read(std::string stream, std::map<std::string, std::string> query);
    HttpResponse control(const boost::json::object&);
    void truncate(const std::string& stream, LogOffset before);
    void wakeReaders();

    boost::asio::io_context& context;
    std::size_t retention;
    std::map<std::string, Stream> streams;
    boost::json::array hosts;
    Faults faults;
    boost::asio::steady_timer outageEnd;
    std::set<boost::asio::steady_timer*> waitingReaders;
    HttpServer server;
};

}

#endif
