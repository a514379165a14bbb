#ifndef FILBERTSPOKE_PROBE_TABLE_H
#define FILBERTSPOKE_PROBE_TABLE_H

#include "../ListedHost.h"
#include "../PeerDirectorySettings.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <optional>
#include <vector>

namespace filbertspoke::internal {

/** \brief A probe that has no answer so far. */
struct OpenProbe {
    DaemonId target;
    std::uint64_t sequence = 0;
    TimePoint sent;
    bool askOthers = false; ///< to probe the target too when it doesn't answer in time
};

/** \brief A probe that was sent on a peer's request. */
struct Relay {
    ListedDaemon requester;
    std::uint64_t requested = 0; ///< the requester's sequence
    std::uint64_t sequence = 0; ///< this daemon's
    TimePoint sent;
};

/** \brief The probes of one daemon that are under way, its own and those for others. */
class ProbeTable {
public:
    explicit ProbeTable(const PeerDirectorySettings&);

    /** \returns the sequence of the new probe */
    std::uint64_t open(const DaemonId& target, bool askOthers, TimePoint);
    /** \returns the sequence of the probe for the requester; nothing when too many are under way */
    std::optional<std::uint64_t> openRelay(const ListedDaemon& requester, std::uint64_t requested, TimePoint);

    void answered(const DaemonId& target, std::uint64_t sequence);
    /** \returns the relay that the answer belongs to, once */
    std::optional<Relay> takeRelay(std::uint64_t sequence);

    /** \returns probes without an answer for a whole interval, once each; drops relays as old */
    std::vector<OpenProbe> takeFailed(TimePoint);
    /** \returns probes that others should be asked for by now, once each */
    std::vector<OpenProbe> takeSlow(TimePoint);
    /** \brief Drops everything: nothing follows from the answers that are missing. */
    void clear();

    /** \returns when takeFailed() or takeSlow() has something at the earliest */
    std::optional<TimePoint> nextWake() const;

private:
    PeerDirectorySettings settings;
    std::vector<OpenProbe> probes;
    std::vector<Relay> relays;
    std::uint64_t lastSequence = 0;
};

}

#endif
