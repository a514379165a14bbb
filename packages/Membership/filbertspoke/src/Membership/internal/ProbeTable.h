#ifndef FILBERTSPOKE_PROBE_TABLE_H
#define FILBERTSPOKE_PROBE_TABLE_H

#include "../ListedHost.h"
#include "../PeerDirectorySettings.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <optional>
#include <vector>

namespace filbertspoke::internal {

/** \brief A probe that is not answered yet. */
struct OpenProbe {
    DaemonId target;
    std::uint64_t sequence = 0;
    TimePoint sent;
    bool askOthers = false; ///< whether other peers are asked to probe the target after the probe timeout
};

/** \brief A probe that was sent on a peer's request. */
struct Relay {
    ListedDaemon requester;
    std::uint64_t requested = 0; ///< sequence number of the requester
    std::uint64_t sequence = 0; ///< sequence number of this daemon's probe
    TimePoint sent;
};

/** \brief The probes of a daemon that are in flight: its own and those on request of peers. */
class ProbeTable {
public:
    explicit ProbeTable(const PeerDirectorySettings&);

    /** \returns the sequence number of the new probe */
    std::uint64_t open(const DaemonId& target, bool askOthers, TimePoint);
    /** \returns the sequence number of the probe for the requester, or nothing when too many are in flight */
    std::optional<std::uint64_t> openRelay(const ListedDaemon& requester, std::uint64_t requested, TimePoint);

    /** \brief Closes the probe of the target with this sequence number. */
    void answered(const DaemonId& target, std::uint64_t sequence);
    /** \brief Removes the relayed probe that an answer belongs to. \returns it, or nothing when there is none */
    std::optional<Relay> takeRelay(std::uint64_t sequence);

    /** \brief Removes the probes and relays that are older than a probe interval. \returns the removed probes */
    std::vector<OpenProbe> takeFailed(TimePoint);
    /** \returns probes past the probe timeout, for which other peers should now be asked; each probe once */
    std::vector<OpenProbe> takeSlow(TimePoint);
    /** \brief Removes all probes and relays without counting them as failed. */
    void clear();

    /** \returns the earliest time at which takeFailed() or takeSlow() returns a probe */
    std::optional<TimePoint> nextWake() const;

private:
    PeerDirectorySettings settings;
    std::vector<OpenProbe> probes;
    std::vector<Relay> relays;
    std::uint64_t lastSequence = 0;
};

}

#endif
