#include <filbertspoke/Gateway>

namespace filbertspoke {

namespace {

constexpr std::uint32_t startEvents = 4;

}

bool isPastStart(std::uint32_t events)
{
    return events >= startEvents;
}

}
