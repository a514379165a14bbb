#include "ServiceConfiguration.h"

#include <algorithm>
#include <cctype>

namespace filbertspoke {

namespace {

// Detects paths that a service may normalise to a path under another rule. "/stock/../bookings" matches the rule of
// /stock but may reach /bookings, which would then get the retry policy of /stock.
bool isAmbiguous(std::string_view path)
{
    std::string lower(path.substr(0, path.find('?')));
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    for (const std::string_view encoded : { "%2e", "%2f", "%5c", "\\", "//", "/./", "/../" }) {
        if (lower.find(encoded) != std::string::npos)
            return true;
    }
    return lower.ends_with("/.") || lower.ends_with("/..");
}

}

bool RouteRule::matches(std::string_view callMethod, std::string_view callPath) const
{
    if (this->method != "*" && this->method != callMethod)
        return false;
    if (!callPath.starts_with(this->pathPrefix))
        return false;
    const std::string_view rest = callPath.substr(this->pathPrefix.size());
    return rest.empty() || this->pathPrefix.ends_with('/') || rest.front() == '/' || rest.front() == '?';
}

const RouteRule* ServiceConfiguration::findRule(std::string_view method, std::string_view path) const
{
    if (isAmbiguous(path))
        return nullptr;
    const auto rule = std::find_if(this->rules.begin(), this->rules.end(), [&](const RouteRule& candidate) {
        return candidate.matches(method, path);
    });
    return rule == this->rules.end() ? nullptr : &*rule;
}

}
