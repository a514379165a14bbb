#ifndef FILBERTSPOKE_REQUEST_QUARANTINE_H
#define FILBERTSPOKE_REQUEST_QUARANTINE_H

#include "CrashTimes.h"
#include "EndpointRegistry.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace filbertspoke {

/** \brief The end of an endpoint's run while it was to begin the answer to a request. */
struct EndpointCrash {
    EndpointRun run;
    Duration age {}; ///< time since the connection broke
    Duration held {}; ///< time for which the endpoint had the request before; zero if it is unknown, and the age is that of the request

    auto operator<=>(const EndpointCrash&) const = default;
};

/** \brief What daemons know of a trait whose requests were at endpoints that crashed. */
struct RequestTraitEvidence {
    RequestTraitId trait;
    std::vector<EndpointCrash> crashes;
    std::optional<Duration> servedAge; ///< since a request with the trait was last served, if one is known to have been
    bool quarantined = false; ///< by the daemon that sends the evidence

    auto operator<=>(const RequestTraitEvidence&) const = default;
};

/** \brief Decides which requests crash endpoints, so that they are refused.
 *
 * Load pattern 1: one in twenty requests contains a prompt part on which each engine crashes as it begins to write. Such a request takes
 * some fifty others down with it, which share the caller and the other parts of its prompt and are sent again. On a large site no daemon
 * sees more than one or two of the crashes, so that the daemons exchange what they observed.
 *
 * Load pattern 2: one request crashes each engine or replica that begins to run it. It is sent again with the same body, by its caller and by
 * the daemons, at once and for as long as it fails.
 *
 * Every request at the crashed endpoint that is not past its start (isPastStart()) makes its traits suspect: the parts of its prompt that
 * other requests may have, and its fingerprint, which only its repeats have. A request that is served clears its traits, which the repeats of
 * sound requests do within a fraction of a second. A trait is quarantined after crashes of several endpoints at different times without a request in between that was
 * served, while requests without the trait are served. Of traits that were at the same crashes, only the one is quarantined whose requests
 * were served least recently or never. Where that doesn't tell them apart, only requests with all of them are refused: the next request with
 * one of them is served and clears it, or adds a crash to it.
 *
 * Load pattern 3: three or four engines crash together for a cause of their own, under sound requests of several accounts, whose repeats wait for the lost
 * capacity and are not served soon. Such a burst is one crash for each trait (CrashTimes). It is told by the time and number of crashed endpoints under any
 * requests. Which traits they have does not decide: the common part of an account is at most crashed engines, whatever the cause. Only a trait whose
 * request was sent after the crash before, and which was at all endpoints of the burst, explains the burst by itself; its crashes count one by one.
 */
class RequestQuarantine {
public:
    /** \brief Records that an endpoint crashed before a request with these traits was past the start of its stream, or before the answer to it.
     * \param held time for which the endpoint had the request; zero if the time of the crash is unknown and counts as that of sending */
    void noteCrash(const std::vector<RequestTraitId>&, const EndpointRun&, TimePoint now, Duration held = std::chrono::seconds(1));
    /** \brief Records that a request got past the start of its stream, or was answered.
     * \param shared traits that other requests have too; remembered, in case that they become suspect
     * \param fingerprint of the request; empty for none */
    void noteServed(const std::vector<RequestTraitId>& shared, TimePoint now, const RequestTraitId& fingerprint = {});

    /** \returns the evidence to send to other daemons, limited to the traits that are suspected most */
    std::vector<RequestTraitEvidence> evidence(TimePoint now) const;
    /** \returns the evidence for all quarantined traits */
    std::vector<RequestTraitEvidence> quarantined(TimePoint now) const;
    /** \brief Adds the evidence of another daemon. */
    void merge(const std::vector<RequestTraitEvidence>&, TimePoint now);

    /** \brief Decides again which traits are quarantined, and forgets old evidence.
     * \returns the traits that are quarantined since the last call */
    std::vector<RequestTraitId> update(TimePoint now);
    /** \returns the time for which a request with these traits is refused, or nothing when it may be sent */
    std::optional<Duration> refusalTime(const std::vector<RequestTraitId>&, TimePoint now) const;

private:
    struct Crash {
        TimePoint at;
        TimePoint sentAt; ///< when the last request with the trait was sent to the endpoint
    };
    using Crashes = std::map<EndpointRun, Crash>;
    struct Suspect {
        Crashes crashes; ///< since a request with the trait was last served
        std::optional<TimePoint> servedAt;
        std::size_t othersServed = 0; ///< requests of this daemon without the trait that were served since the first crash
        bool quarantined = false;
        bool quarantinedElsewhere = false; ///< another daemon has quarantined the trait
    };
    using Suspects = std::map<RequestTraitId, Suspect>;

    static RequestTraitEvidence evidenceOf(const Suspects::value_type&, TimePoint now);
    /** \returns the times of those of a suspect's crashes that count as separate ones, in order
     * \param considered crashes that may count */
    std::vector<TimePoint> separateCrashes(const Suspect&, const Crashes& considered) const;
    std::vector<TimePoint> separateCrashes(const Suspect& suspect) const { return this->separateCrashes(suspect, suspect.crashes); }
    /** \returns whether endpoints at which the suspect was not crashed together with those at which it was */
    bool hasOthersAround(const Suspect&, TimePoint before, TimePoint at) const;
    static TimePoint firstCrashAt(const Suspect&);
    static TimePoint lastCrashAt(const Suspect&);
    /** \brief Clears a trait, a request with which was served at \a at. */
    static void clear(Suspect&, TimePoint at);
    /** \returns whether the evidence against the trait suffices by itself */
    bool hasEnoughEvidence(const Suspect&, TimePoint now) const;
    /** \returns whether a trait with better evidence against it leaves too few crashes unexplained to suspect this one */
    bool isExplained(const RequestTraitId&, const Suspect&, TimePoint now) const;
    /** \returns whether the crashes under one trait leave too few under the other to suspect it */
    bool explains(const Suspect& other, const Suspect&) const;
    /** \returns whether the traits include all that are as likely as the quarantined one to have caused its crashes */
    bool hasAllEquallySupported(const Suspects::value_type&, const std::vector<RequestTraitId>&) const;
    /** \brief Makes room for another suspect: the one with the fewest and oldest crashes is forgotten. */
    void makeRoom(TimePoint now);
    /** \brief Erases what is too old to matter. */
    void forget(TimePoint now);

    Suspects suspects;
    CrashTimes crashTimes; ///< of the endpoints under any requests, served since or not
    std::map<RequestTraitId, TimePoint> servedAt; ///< when a request with the shared trait was last served by this daemon
};

}

#endif
