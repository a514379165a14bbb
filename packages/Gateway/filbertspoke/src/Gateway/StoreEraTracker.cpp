#include <filbertspoke/Gateway>

namespace filbertspoke {

EraRelation StoreEraTracker::note(std::optional<StoreEra> era)
{
    if (!era || era == this->highest)
        return EraRelation::Current;
    if (this->highest && *era < *this->highest)
        return EraRelation::Outdated;
    const bool first = !this->highest;
    this->highest = era;
    return first ? EraRelation::Current : EraRelation::Newer;
}

}
