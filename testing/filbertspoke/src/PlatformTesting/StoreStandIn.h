#ifndef FILBERTSPOKE_STORE_STAND_IN_H
#define FILBERTSPOKE_STORE_STAND_IN_H

#include <filbertspoke/Http>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief Plays the platform's store: keyed topics, and a group of which one member at a time owns everything. */
class StoreStandIn {
public:
    StoreStandIn(boost::asio::io_context&, const HttpAddress&);

    /** \brief Writes a record; without a value the key is dropped. */
    void put(const std::string& topic, const std::string& key, std::optional<std::string> value);
    void putConfiguration(const std::string& text) { this->put("keyed.op", "config", text); }
    void putEndpoint(const std::string& id, const std::string& text) { this->put("keyed.servers", id, text); }
    /** \brief Writes an endpoint's entry as its heartbeat does. */
    void renewEndpoint(const std::string& id, const std::string& text);
    /** \brief Answers 503 to everything while it is away. */
    void setAway(bool);
    /** \brief Answers nothing while it is silent. */
    void setSilent(bool value) { this->silent = value; }
    /** \brief Restarts from a copy that lacks the last \a lost records of each topic, and raises the era. Heartbeats are lost besides. The group forgets its owner and
     * counts its generations from 0 again.
     * \returns the lost records by topic, which their writers may write again */
    std::map<std::string, std::vector<std::pair<std::string, std::optional<std::string>>>> restartFromCopy(std::size_t lost);
    /** \returns how many calls it answered */
    std::size_t calls() const { return this->answered; }

    HttpAddress address() const { return this->server.address(); }

private:
    using Record = std::pair<std::string, std::optional<std::string>>;

    HttpResponse answer(const HttpRequest&);
    HttpResponse join(const boost::json::object&);
    /** \brief Appends keyed records; other topics keep none. */
    HttpResponse append(const std::string& topic, std::string_view records);
    HttpResponse newest(const std::vector<Record>&) const;
    HttpResponse respondWithEra(const HttpRequest&);
    static HttpResponse read(const std::vector<Record>&, std::size_t from);

    std::map<std::string, std::vector<Record>> topics;
    std::size_t heartbeats = 0; ///< records since the last restart
    std::uint64_t era = 1;
    bool away = false;
    bool silent = false;
    std::size_t answered = 0;
    std::string holder; ///< member that owns the group's partition
    std::chrono::steady_clock::time_point heldUntil;
    std::uint64_t generation = 0;
    HttpServer server;
};

}

#endif
