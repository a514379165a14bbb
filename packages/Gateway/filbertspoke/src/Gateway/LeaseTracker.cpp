#include <filbertspoke/Gateway>

namespace filbertspoke {

namespace {

// Bits of a fencing token that hold the generation. Era and generation together stay within the 53 bits that JSON numbers carry exactly.
constexpr int generationBits = 40;

}

bool LeaseTracker::noteEra(std::optional<StoreEra> current)
{
    if (!current || current == this->era)
        return false;
    const bool restarted = this->era.has_value();
    this->era = current;
    if (!restarted)
        return false;
    this->lastGeneration = 0;
    this->granted = false;
    return true;
}

void LeaseTracker::noteClaim(const PlacementLease& lease, TimePoint claimedAt)
{
    this->lastGeneration = lease.generation;
    this->granted = lease.held;
    this->expiresAt = claimedAt + this->lifetime;
}

std::uint64_t LeaseTracker::fencingToken() const
{
    return this->era.value_or(0) << generationBits | this->lastGeneration;
}

}
