#ifndef FILBERTSPOKE_REGISTRY_VIEW_H
#define FILBERTSPOKE_REGISTRY_VIEW_H

#include <filbertspoke/Core>

#include <optional>

namespace filbertspoke {

/** \brief How long ago this daemon's list of endpoints was known to match the platform's registry. */
class RegistryView {
public:
    /** \brief Records that the list matches the registry, by a read of the registry or by a message of a daemon that reads it. */
    void noteCurrent(TimePoint now) { this->currentAt = now; }

    /** \returns the time since the list was last known to match the registry, or nothing if it never was */
    std::optional<Duration> age(TimePoint now) const
    {
        return this->currentAt ? std::optional<Duration>(now - *this->currentAt) : std::nullopt;
    }

private:
    std::optional<TimePoint> currentAt;
};

}

#endif
