#ifndef FILBERTSPOKE_REPORT_CALLER_RETURNS_H
#define FILBERTSPOKE_REPORT_CALLER_RETURNS_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace filbertspoke::report {

/** \brief A request that repeats one that was refused before. */
struct CallerReturn {
    std::int64_t arrival = 0; ///< in us
    std::int64_t end = 0; ///< in us
    std::uint32_t service = 0; ///< index
    bool answered = false;

    auto operator<=>(const CallerReturn&) const = default;
};

/** \brief Finds the requests that repeat refused ones, by their fingerprints. */
class CallerReturns {
public:
    void add(std::string_view fingerprint, const CallerReturn& request, bool refused);

    /** \returns the repeats by arrival */
    std::vector<CallerReturn> find() const;

private:
    struct Request {
        CallerReturn request;
        std::size_t fingerprint = 0;
        bool refused = false;
    };

    std::vector<Request> requests;
};

}

#endif
