#ifndef FILBERTSPOKE_PEER_DIRECTORY_H
#define FILBERTSPOKE_PEER_DIRECTORY_H

#include "DaemonStateUpdate.h"
#include "ListedHost.h"
#include "PeerDirectorySettings.h"
#include "PeerMessage.h"
#include "internal/ProbeTable.h"
#include "internal/SpreadQueue.h"

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

/** \brief Which peer daemons are alive, suspect, leaving or gone.
 *
 * Each daemon probes one peer in each interval, in a random order that reaches every peer; a peer
 * that doesn't answer is probed through a few others before it is suspected, and has time to refute.
 * Words on daemons travel on these messages. The cost for one daemon doesn't grow with their number.
 *
 * Which word is newer is decided by the incarnation that the daemon itself chose, then by the order
 * of MemberState; no two clocks are compared, and words may be lost, repeated or reordered. The host
 * list only names peers to be probed.
 * \sa docs/design/membership.md
 */
class PeerDirectory {
public:
    PeerDirectory(ListedDaemon self, std::uint64_t incarnation, PeerDirectorySettings = {});

    /** \brief Takes the daemons of one reading of the host list; the daemon itself is passed over. */
    void listed(const std::vector<ListedHost>&, TimePoint);

    /** \brief Does what is due. \returns the messages to send */
    PeerEnvelopes tick(TimePoint, Random&);
    /** \returns the time of the next tick() that has something to do */
    TimePoint nextWake() const;

    /** \returns the answers to a heartbeat */
    PeerEnvelopes received(const PeerProbe&, TimePoint, Random&);
    PeerEnvelopes received(const PeerProbeRequest&, TimePoint, Random&);
    PeerEnvelopes received(const PeerProbeAnswer&, TimePoint, Random&);
    /** \brief Takes a status that came outside of a heartbeat. */
    void received(const PeerStatus&, TimePoint);

    /** \brief Takes note that a connection to the peer failed: it is suspected until it refutes. */
    void sendFailed(const DaemonId&, TimePoint);

    /** \brief Sets what the daemon's own heartbeats report. */
    void setLoad(LogOffset revision, std::uint32_t inProgress)
    {
        this->configurationRevision = revision;
        this->requestsInProgress = inProgress;
    }
    /** \brief Says from now on that this daemon stops. */
    void startLeaving()
    {
        if (this->ownState == MemberState::Leaving)
            return;
        this->ownState = MemberState::Leaving;
        this->words.add(this->self.id);
    }
    /** \returns probes that take urgent words to a few peers at once */
    PeerEnvelopes announce(TimePoint, Random&);

    PeerStatus ownStatus() const
    {
        return { this->self.id, this->incarnation, this->configurationRevision, this->requestsInProgress,
            this->ownState == MemberState::Leaving };
    }
    std::optional<MemberState> state(const DaemonId& id) const
    {
        const auto entry = this->members.find(id);
        return entry == this->members.end() ? std::nullopt : std::optional(entry->second.state);
    }
    /** \returns where the peer is reached, or null when it isn't known */
    const ListedDaemon* find(const DaemonId& id) const
    {
        const auto entry = this->members.find(id);
        return entry == this->members.end() ? nullptr : &entry->second.daemon;
    }
    /** \returns the peer's last word on itself, or null when it has not been heard */
    const PeerStatus* status(const DaemonId& id) const
    {
        const auto entry = this->members.find(id);
        return entry != this->members.end() && entry->second.status ? &*entry->second.status : nullptr;
    }
    /** \returns the peers in a state, ordered by their id */
    std::vector<ListedDaemon> peersIn(MemberState) const;
    std::map<FailureDomainId, std::map<MemberState, std::size_t>> countByFailureDomain() const;
    std::size_t size() const { return this->members.size(); }
    /** \returns the peers that may be serving: those that are not gone, and those that are gone but still
     * listed, since a cut link looks like a dead peer */
    std::size_t possiblyServingCount() const;
    /** \returns how often a word is sent at the present number of peers */
    unsigned transmissionsPerUpdate() const;

    /** \returns the changes since the last call */
    std::vector<PeerStateChanged> takeChanges()
    {
        return std::exchange(this->changes, {});
    }

private:
    struct Member {
        ListedDaemon daemon;
        std::uint64_t incarnation = 0; ///< 0 until the peer is heard, or heard of
        MemberState state = MemberState::Suspect;
        std::optional<TimePoint> goneAt; ///< when a suspicion ends, unless it is refuted
        TimePoint changed {};
        bool listed = false;
        bool behind = false; ///< it speaks with an earlier incarnation than is held of it
        std::optional<PeerStatus> status;
    };

    void allowForPause(TimePoint);
    void checkProbes(TimePoint, Random&, PeerEnvelopes&);
    void takeFailure(const DaemonId& target, TimePoint, PeerEnvelopes&);
    void askOthers(const internal::OpenProbe&, Random&, PeerEnvelopes&);
    void endSuspicions(TimePoint);
    void forgetOld(TimePoint);
    void probeNext(TimePoint, Random&, PeerEnvelopes&);
    void probeGone(TimePoint, Random&, PeerEnvelopes&);
    void probe(const Member&, bool askOthers, TimePoint, PeerEnvelopes&);
    PeerProbe makeProbe(const DaemonId& to, std::uint64_t sequence);
    Gossip gossipFor(const DaemonId&);
    std::vector<ListedDaemon> sample(std::size_t count, const DaemonId& except, Random&) const;

    void hear(const Gossip&, TimePoint);
    void hear(const DaemonStateUpdate&, TimePoint);
    void hearSender(const PeerStatus&, const ListedDaemon&, TimePoint);
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
    internal::SpreadQueue<DaemonId> words;
    std::optional<TimePoint> lastTick;
    std::optional<TimePoint> nextGone; ///< not later than the end of any suspicion
    TimePoint nextProbe {};
    TimePoint nextGoneProbe {};
    std::vector<PeerStateChanged> changes;
};

}

#endif
