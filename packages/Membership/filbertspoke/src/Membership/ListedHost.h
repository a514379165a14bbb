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
    std::string address; ///< IP address in text form
    std::uint16_t port = 0; ///< port of the peer link

    bool operator==(const ListedDaemon&) const = default;
};

/** \brief An entry of the platform's host list, which lags behind the real state. */
struct ListedHost {
    std::variant<Endpoint, ListedDaemon> member;
    bool leaving = false;

    bool operator==(const ListedHost&) const = default;
};

}

#endif
