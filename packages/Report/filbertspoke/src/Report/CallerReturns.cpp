#include <filbertspoke/Report>

#include <algorithm>
#include <functional>
#include <unordered_set>

namespace filbertspoke::report {

void CallerReturns::add(std::string_view fingerprint, const CallerReturn& request, bool refused)
{
    if (!fingerprint.empty())
        this->requests.push_back({ request, std::hash<std::string_view> {}(fingerprint), refused });
}

std::vector<CallerReturn> CallerReturns::find() const
{
    std::vector<Request> sorted = this->requests;
    std::stable_sort(sorted.begin(), sorted.end(), [](const Request& a, const Request& b) { return a.request.arrival < b.request.arrival; });
    std::unordered_set<std::size_t> refused;
    std::vector<CallerReturn> repeats;
    for (const Request& request : sorted) {
        if (refused.contains(request.fingerprint))
            repeats.push_back(request.request);
        if (request.refused)
            refused.insert(request.fingerprint);
    }
    return repeats;
}

}
