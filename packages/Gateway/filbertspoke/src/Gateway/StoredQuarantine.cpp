#include <filbertspoke/Gateway>

#include <algorithm>

namespace filbertspoke {

namespace {

// A quarantined request is rare. The limit bounds the store's records if an attacker finds many that crash endpoints.
constexpr std::size_t maximumStoredTraits = 256;
// The store's limit for a key.
constexpr std::size_t maximumKeyBytes = 255;

}

QuarantineChanges StoredQuarantine::changes(const std::vector<RequestTraitEvidence>& quarantined) const
{
    QuarantineChanges changes;
    const auto isQuarantined = [&quarantined](const RequestTraitId& trait) {
        return std::any_of(quarantined.begin(), quarantined.end(), [&trait](const RequestTraitEvidence& evidence) { return evidence.trait == trait; });
    };
    std::copy_if(this->stored.begin(), this->stored.end(), std::back_inserter(changes.removed), [&](const RequestTraitId& trait) { return !isQuarantined(trait); });
    std::size_t kept = this->stored.size() - changes.removed.size();
    for (const RequestTraitEvidence& evidence : quarantined) {
        if (this->stored.contains(evidence.trait) || evidence.trait.str().size() > maximumKeyBytes || kept >= maximumStoredTraits)
            continue;
        ++kept;
        changes.added.push_back(evidence);
    }
    return changes;
}

void StoredQuarantine::noteWritten(const QuarantineChanges& changes)
{
    for (const RequestTraitEvidence& evidence : changes.added)
        this->stored.insert(evidence.trait);
    for (const RequestTraitId& trait : changes.removed)
        this->stored.erase(trait);
}

}
