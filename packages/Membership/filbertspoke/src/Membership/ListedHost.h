#ifndef FILBERTSPOKE_LISTED_HOST_H
#define FILBERTSPOKE_LISTED_HOST_H

#include <filbertspoke/Core>

#include <cstdint>
#include <string>
#include <variant>

namespace filbertspoke {

/** \brief A daemon's entry in the platform's host list. */
struct ListedDaemon {
    DaemonId id;
    FailureDomainId failureDomain;
    std::string address; ///< the IP number in text
    std::uint16_t port = 0; ///< the port of the peer link

    bool operator==(const ListedDaemon&) const = default;
};

/** \brief One line of the platform's host list, which lags behind. */
struct ListedHost {
    std::variant<Endpoint, ListedDaemon> member;
    bool leaving = false;

    bool operator==(const ListedHost&) const = default;
};

}

#endif
