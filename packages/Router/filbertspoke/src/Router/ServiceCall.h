#ifndef FILBERTSPOKE_SERVICE_CALL_H
#define FILBERTSPOKE_SERVICE_CALL_H

#include <filbertspoke/Core>

#include <cstdint>
#include <string>

namespace filbertspoke {

/** \brief A call to a plain service as the caller made it. */
struct ServiceCall {
    ServiceId service;
    std::string method;
    std::string path; ///< below the service, starts with '/', with the query
    std::string contentType;
    std::string body;

    bool operator==(const ServiceCall&) const = default;
};

/** \brief A plain service's answer. */
struct ServiceAnswer {
    std::uint32_t status = 0; ///< HTTP status
    std::string contentType;
    std::string body;

    bool operator==(const ServiceAnswer&) const = default;
};

}

#endif
