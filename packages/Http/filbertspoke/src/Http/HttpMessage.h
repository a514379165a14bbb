#ifndef FILBERTSPOKE_HTTP_MESSAGE_H
#define FILBERTSPOKE_HTTP_MESSAGE_H

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspoke {

constexpr unsigned statusOk = 200;

/** \brief One header field. */
struct HttpHeader {
    std::string name;
    std::string value;

    auto operator<=>(const HttpHeader&) const = default;
};

/** \brief An HTTP request. */
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/"; ///< path with query
    std::vector<HttpHeader> headers;
    std::string body;

    auto operator<=>(const HttpRequest&) const = default;
};

/** \brief An HTTP response. */
struct HttpResponse {
    unsigned status = 200;
    std::vector<HttpHeader> headers;
    std::string body;

    auto operator<=>(const HttpResponse&) const = default;
};

/** \returns the value of the first field with the name, in any case; empty when there is none */
std::string_view findHeader(const std::vector<HttpHeader>&, std::string_view name);

}

#endif
