#ifndef FILBERTSPOKE_PROMPT_QUARANTINE_H
#define FILBERTSPOKE_PROMPT_QUARANTINE_H

#include "EndpointRegistry.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace filbertspoke {

/** \brief The end of an engine's run while it was to begin the answer to a request. */
struct EngineCrash {
    EndpointRun run;
    Duration age {}; ///< time since the connection broke

    auto operator<=>(const EngineCrash&) const = default;
};

/** \brief What daemons know of a prompt part whose requests were at engines that crashed. */
struct PromptPartEvidence {
    PromptPartId part;
    std::vector<EngineCrash> crashes;
    std::optional<Duration> servedAge; ///< since a request with the part last gave its first event, if one is known to have done so
    bool quarantined = false; ///< by the daemon that sends the evidence

    auto operator<=>(const PromptPartEvidence&) const = default;
};

/** \brief Decides which prompt parts crash engines, so that requests with them are refused.
 *
 * Load pattern: one in twenty requests contains a part on which each engine crashes as it begins to write. Such a request takes some fifty
 * others down with it, which share the caller and the other parts of its prompt and are sent again. On a large site no daemon sees more
 * than one or two of the crashes, so that the daemons exchange what they observed.
 *
 * Every request at the crashed engine without an event makes its parts suspect. A request that gives an event clears its parts, which the
 * repeats of sound requests do within a fraction of a second. A part is quarantined after crashes of several engines at different times
 * without a request in between that was served, while requests without the part are served. Of parts that were at the same crashes, only
 * the one is quarantined whose requests were served least recently or never.
 */
class PromptQuarantine {
public:
    /** \brief Records that an engine's connection broke before the first event of a request with these parts. */
    void noteCrash(const std::vector<PromptPartId>&, const EndpointRun&, TimePoint now);
    /** \brief Records that a request with these parts gave its first event. */
    void noteServed(const std::vector<PromptPartId>&, TimePoint now);

    /** \returns the evidence to send to other daemons, limited to the parts that are suspected most */
    std::vector<PromptPartEvidence> evidence(TimePoint now) const;
    /** \brief Adds the evidence of another daemon. */
    void merge(const std::vector<PromptPartEvidence>&, TimePoint now);

    /** \brief Decides again which parts are quarantined, and forgets old evidence.
     * \returns the parts that are quarantined since the last call */
    std::vector<PromptPartId> update(TimePoint now);
    /** \returns the time for which a request with these parts is refused, or nothing when it may be sent */
    std::optional<Duration> refusalTime(const std::vector<PromptPartId>&, TimePoint now) const;

private:
    using Crashes = std::map<EndpointRun, TimePoint>;
    struct Suspect {
        Crashes crashes; ///< since a request with the part was last served
        std::optional<TimePoint> servedAt;
        std::size_t othersServed = 0; ///< requests of this daemon without the part that were served since the first crash
        bool quarantined = false;
        bool quarantinedElsewhere = false; ///< another daemon has quarantined the part
    };
    using Suspects = std::map<PromptPartId, Suspect>;

    /** \returns the times of the crashes that count as separate ones, in order */
    static std::vector<TimePoint> separateCrashes(const Crashes&);
    static TimePoint lastCrashAt(const Suspect&);
    /** \brief Clears a part, a request with which was served at \a at. */
    static void clear(Suspect&, TimePoint at);
    /** \returns whether the evidence against the part suffices by itself */
    static bool hasEnoughEvidence(const Suspect&, TimePoint now);
    /** \returns whether a part with better evidence against it leaves too few crashes unexplained to suspect this one */
    bool isExplained(const PromptPartId&, const Suspect&, TimePoint now) const;
    /** \brief Erases what is too old to matter. */
    void forget(TimePoint now);

    Suspects suspects;
    std::map<PromptPartId, TimePoint> servedAt; ///< when a request with the part last gave its first event at this daemon
};

}

#endif
