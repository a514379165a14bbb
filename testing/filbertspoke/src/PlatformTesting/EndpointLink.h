#ifndef FILBERTSPOKE_ENDPOINT_LINK_H
#define FILBERTSPOKE_ENDPOINT_LINK_H

#include <filbertspoke/Http>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace filbertspoke {

/** \brief State of the path between a gateway and an endpoint. */
enum class LinkState {
    Open,
    Hanging, ///< nothing passes; new connections neither succeed nor fail
    Reset, ///< open connections are reset and new ones are refused
    RefusingNew, ///< open connections live on and new ones are refused
    Unanswered, ///< bytes to the endpoint pass, nothing comes back; new connections neither succeed nor fail
};

/** \brief Plays the path between a gateway and an endpoint, which can be partitioned.
 *
 * Unlike a relay, a partitioned link does not accept connections: a gateway sees timeouts and refusals as from a real path. Bytes that a partition
 * holds up are lost if their sender resets its connection meanwhile.
 */
class EndpointLink {
public:
    /** \brief Listens on any free port of the address. */
    EndpointLink(boost::asio::io_context&, const std::string& address, const HttpAddress& endpoint);
    ~EndpointLink();

    HttpAddress address() const;
    void setState(LinkState);

private:
    class State;
    std::shared_ptr<State> state;
};

}

#endif
