#ifndef FILBERTSPOKE_SERVICE_CALL_H
#define FILBERTSPOKE_SERVICE_CALL_H

#include <filbertspoke/Core>

#include <cstdint>
#include <string>

namespace filbertspoke {

/** \brief A caller's call to a plain service. */
struct ServiceCall {
    ServiceId service;
    std::string method;
    std::string path; ///< relative to the service; starts with '/' and includes the query
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
