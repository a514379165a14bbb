#ifndef FILBERTSPOKE_STORE_STAND_IN_H
#define FILBERTSPOKE_STORE_STAND_IN_H

#include <filbertspoke/Http>

#include <boost/asio/io_context.hpp>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief Plays the platform's store: keyed topics, and a group whose only member owns everything. */
class StoreStandIn {
public:
    StoreStandIn(boost::asio::io_context&, const HttpAddress&);

    /** \brief Writes a record; without a value the key is dropped. */
    void put(const std::string& topic, const std::string& key, std::optional<std::string> value);
    /** \brief Answers 503 to everything while it is away. */
    void setAway(bool);

    HttpAddress address() const { return this->server.address(); }

private:
    using Record = std::pair<std::string, std::optional<std::string>>;

    HttpResponse answer(const HttpRequest&) const;
    HttpResponse newest(const std::vector<Record>&) const;
    static HttpResponse read(const std::vector<Record>&, std::size_t from);

    std::map<std::string, std::vector<Record>> topics;
    bool away = false;
    HttpServer server;
};

}

#endif
