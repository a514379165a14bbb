#ifndef FILBERTSPOKE_REGISTRY_VIEW_H
#define FILBERTSPOKE_REGISTRY_VIEW_H

#include <filbertspoke/Core>

#include <optional>

namespace filbertspoke {

/** \brief How long ago this daemon's list of endpoints was known to match the platform's registry.
 *
 * Decides by this age, and not by whether a call failed, whether entries may have expired unnoticed: a failed call may be due to this
 * daemon alone, and a call that succeeds after a pause in reading does not mean that the registry was unavailable until then.
 */
class RegistryView {
public:
    /** \param heartbeatInterval at which endpoints write their entries */
    explicit RegistryView(Duration heartbeatInterval)
        : heartbeatInterval(heartbeatInterval)
    {
    }

    /** \brief Records that the list matches the registry, by a read of the registry or by a message of a daemon that reads it.
     * \returns whether the registry may have been unavailable before for long enough that entries of endpoints that are alive expired */
    bool noteCurrent(TimePoint now);

    /** \returns whether the list was known to match the registry so recently that other daemons may rely on it */
    bool isCurrent(TimePoint now) const;

    /** \returns the time since the list was last known to match the registry, or nothing if it never was */
    std::optional<Duration> age(TimePoint now) const;

private:
    Duration heartbeatInterval;
    std::optional<TimePoint> currentAt;
};

}

#endif
