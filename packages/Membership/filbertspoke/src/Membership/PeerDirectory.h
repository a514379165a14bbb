#ifndef FILBERTSPOKE_PEER_DIRECTORY_H
#define FILBERTSPOKE_PEER_DIRECTORY_H

#include "DaemonStateUpdate.h"
#include "ListedHost.h"
#include "PeerDirectorySettings.h"
#include "PeerMessage.h"
#include "internal/DisseminationQueue.h"
#include "internal/ProbeTable.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief A heartbeat message and the peer that it goes to. */
struct PeerEnvelope {
    ListedDaemon peer;
    PeerMessage message;

    bool operator==(const PeerEnvelope&) const = default;
};

using PeerEnvelopes = std::vector<PeerEnvelope>;

/** \brief A peer daemon's state changed. */
struct PeerStateChanged {
    DaemonId peer;
    std::optional<MemberState> from; ///< nothing for a peer that was not known
    std::optional<MemberState> to; ///< nothing for a peer that was forgotten

    bool operator==(const PeerStateChanged&) const = default;
};

/** \brief State of each peer daemon (alive, suspect, leaving or gone), by a SWIM-like failure detector.
 *
 * Each daemon probes one peer per interval, in a random order that covers every peer. A peer that
 * doesn't answer is probed through a few other peers before it is suspected, and it can refute the
 * suspicion. State updates are piggybacked on these messages. The cost per daemon doesn't grow with
 * the number of daemons.
 *
 * Of two updates the one with the higher incarnation, which the described daemon chose, wins, then the
 * later MemberState. Clocks of different daemons are not compared, and updates may be lost, repeated or
 * reordered. The host list only names peers to probe.
 * \sa docs/design/membership.md
 */
class PeerDirectory {
public:
    PeerDirectory(ListedDaemon self, std::uint64_t incarnation, PeerDirectorySettings = {});

    /** \brief Applies the daemons of one reading of the host list; this daemon itself is skipped. */
    void listed(const std::vector<ListedHost>&, TimePoint);

    /** \brief Performs the probes and time-outs that are due. \returns the messages to send */
    PeerEnvelopes tick(TimePoint, Random&);
    /** \returns when tick() should be called next */
    TimePoint nextWake() const;

    /** \returns the answers to a heartbeat */
    PeerEnvelopes received(const PeerProbe&, TimePoint, Random&);
    PeerEnvelopes received(const PeerProbeRequest&, TimePoint, Random&);
    PeerEnvelopes received(const PeerProbeAnswer&, TimePoint, Random&);
    /** \brief Applies a status that arrived outside of a heartbeat. */
    void received(const PeerStatus&, TimePoint);

    /** \brief Records that a connection to the peer failed: the peer is suspected until it refutes the suspicion. */
    void sendFailed(const DaemonId&, TimePoint);

    /** \brief Sets the load and the configuration revision that this daemon's heartbeats report. */
    void setLoad(LogOffset revision, std::uint32_t inProgress)
    {
        this->configurationRevision = revision;
        this->requestsInProgress = inProgress;
    }
    /** \brief Reports this daemon as leaving from now on. */
    void startLeaving()
    {
        if (this->ownState == MemberState::Leaving)
            return;
        this->ownState = MemberState::Leaving;
        this->updates.add(this->self.id);
    }
    /** \returns probes that carry urgent updates to a few peers at once */
    PeerEnvelopes announce(TimePoint, Random&);

    /** \returns the status that this daemon reports to its peers */
    PeerStatus ownStatus() const
    {
        return { this->self.id, this->incarnation, this->configurationRevision, this->requestsInProgress,
            this->ownState == MemberState::Leaving };
    }
    /** \returns the state of a peer, or nothing when it isn't known */
    std::optional<MemberState> state(const DaemonId& id) const
    {
        const auto entry = this->members.find(id);
        return entry == this->members.end() ? std::nullopt : std::optional(entry->second.state);
    }
    /** \returns the peer with its address, or null when it isn't known */
    const ListedDaemon* find(const DaemonId& id) const
    {
        const auto entry = this->members.find(id);
        return entry == this->members.end() ? nullptr : &entry->second.daemon;
    }
    /** \returns the peer's last own status, or null when none has been received */
    const PeerStatus* status(const DaemonId& id) const
    {
        const auto entry = this->members.find(id);
        return entry != this->members.end() && entry->second.status ? &*entry->second.status : nullptr;
    }
    /** \returns the peers in a state, ordered by their id */
    std::vector<ListedDaemon> peersIn(MemberState) const;
    /** \returns the number of known peers in each state, by failure domain */
    std::map<FailureDomainId, std::map<MemberState, std::size_t>> countByFailureDomain() const;
    /** \returns the number of known peers, gone ones included */
    std::size_t size() const { return this->members.size(); }
    /** \returns the number of peers that may be serving: those that are not gone, and gone ones that are still
     * listed, since a network partition looks like a dead peer */
    std::size_t possiblyServingCount() const;
    /** \returns how often an update is transmitted at the present number of peers */
    unsigned transmissionsPerUpdate() const;

    /** \returns the changes since the last call */
    std::vector<PeerStateChanged> takeChanges()
    {
        return std::exchange(this->changes, {});
    }

private:
    struct Member {
        ListedDaemon daemon;
        std::uint64_t incarnation = 0; ///< 0 until a status or an update about the peer arrives
        MemberState state = MemberState::Suspect;
        std::optional<TimePoint> goneAt; ///< when the suspected peer becomes gone unless it refutes the suspicion
        TimePoint changed {};
        bool listed = false;
        bool staleIncarnation = false; ///< it reports an earlier incarnation than the known one
        std::optional<PeerStatus> status;
    };

    void compensatePause(TimePoint);
    void checkProbes(TimePoint, Random&, PeerEnvelopes&);
    void handleProbeFailure(const DaemonId& target, TimePoint, PeerEnvelopes&);
    void requestIndirectProbes(const internal::OpenProbe&, Random&, PeerEnvelopes&);
    void expireSuspicions(TimePoint);
    void removeExpired(TimePoint);
    void probeNext(TimePoint, Random&, PeerEnvelopes&);
    void probeGone(TimePoint, Random&, PeerEnvelopes&);
    void probe(const Member&, bool askOthers, TimePoint, PeerEnvelopes&);
    PeerProbe makeProbe(const DaemonId& to, std::uint64_t sequence);
    Gossip gossipFor(const DaemonId&);
    std::vector<ListedDaemon> sample(std::size_t count, const DaemonId& except, Random&) const;

    void applyUpdate(const Gossip&, TimePoint);
    void applyUpdate(const DaemonStateUpdate&, TimePoint);
    void applySenderStatus(const PeerStatus&, const ListedDaemon&, TimePoint);
    void refute(std::uint64_t incarnation);
    void suspect(Member&, TimePoint);
    void startSuspicion(Member&, TimePoint);
    void setState(Member&, MemberState, TimePoint);
    Duration suspicionTime() const;

    ListedDaemon self;
    std::uint64_t incarnation;
    PeerDirectorySettings settings;
    MemberState ownState = MemberState::Alive;
    LogOffset configurationRevision = 0;
    std::uint32_t requestsInProgress = 0;

    std::map<DaemonId, Member> members;
    std::vector<DaemonId> probeOrder; ///< peers still to probe in this round, the next one last
    std::vector<DaemonId> goneOrder;
    internal::ProbeTable probes;
    internal::DisseminationQueue<DaemonId> updates;
    std::optional<TimePoint> lastTick;
    std::optional<TimePoint> nextGone; ///< at or before the end of the earliest suspicion
    TimePoint nextProbe {};
    TimePoint nextGoneProbe {};
    std::vector<PeerStateChanged> changes;
};

}

#endif
