#ifndef FILBERTSPOKE_LAYER_RANGE_H
#define FILBERTSPOKE_LAYER_RANGE_H

#include <compare>
#include <cstdint>
#include <ostream>

namespace filbertspoke {

/** \brief The layers [first, last) of a model version that one engine holds or one step runs. */
class LayerRange {
public:
    constexpr LayerRange() = default;
    constexpr LayerRange(std::uint32_t first, std::uint32_t last)
        : firstLayer(first)
        , lastLayer(last)
    {
    }

    constexpr std::uint32_t first() const { return this->firstLayer; }
    constexpr std::uint32_t last() const { return this->lastLayer; }
    constexpr std::uint32_t size() const { return this->lastLayer - this->firstLayer; }
    constexpr bool empty() const { return this->firstLayer >= this->lastLayer; }

    auto operator<=>(const LayerRange&) const = default;

private:
    std::uint32_t firstLayer = 0;
    std::uint32_t lastLayer = 0;
};

inline std::ostream& operator<<(std::ostream& stream, const LayerRange& range)
{
    return stream << '[' << range.first() << ',' << range.last() << ')';
}

}

#endif
