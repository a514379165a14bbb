#include <filbertspoke/Gateway>

#include <algorithm>

namespace filbertspoke {

namespace {

// Pauses of a stream vary with the other work of its engines.
constexpr int unusualPauseFactor = 2;

}

bool isStalledByRefusingEngine(Duration pause, std::optional<Duration> usualPause, std::optional<Duration> sinceRefusal)
{
    if (!usualPause || !sinceRefusal || *sinceRefusal > pause)
        return false;
    return pause >= std::max<Duration>(suspectedStallTimeout, *usualPause * unusualPauseFactor);
}

}
