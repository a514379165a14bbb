#include <filbertspoke/Gateway>

#include <algorithm>

namespace filbertspoke {

namespace {

// Pauses of a stream vary with the other work of its engines.
constexpr int unusualPauseFactor = 2;
constexpr double shortestStallFraction = 0.4;

}

Duration shortestStall(Duration targetGap)
{
    return scaled(targetGap, shortestStallFraction);
}

bool isStalledByRefusingEngine(Duration pause, Duration targetGap, std::optional<Duration> usualPause, std::optional<Duration> sinceRefusal)
{
    if (!usualPause || !sinceRefusal || *sinceRefusal > pause)
        return false;
    return pause >= std::max<Duration>(shortestStall(targetGap), *usualPause * unusualPauseFactor);
}

}
