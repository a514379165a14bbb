#include "HttpMessage.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>

namespace filbertspoke {

std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name)
{
    auto field = std::find_if(headers.begin(), headers.end(), [&](const HttpHeader& header) {
        return boost::algorithm::iequals(header.name, name);
    });
    return field == headers.end() ? std::string_view() : std::string_view(field->value);
}

}
