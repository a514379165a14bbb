#ifndef FILBERTSPOKE_LEDGER_EVENT_H
#define FILBERTSPOKE_LEDGER_EVENT_H

#include <rapidcheck.h>

#include <ostream>

namespace filbertspoke::testing {

// Kind of a simulated event. The comments name the faults that are not clear from the name.
enum class LedgerEventKind {
    SendRequest,
    CallerDisconnects,
    AdvanceTime,
    LogResponds,
    LogResponseLost, // the append is stored, but its response is lost
    LogRejects,
    LogAppendDelayed, // the append fails and is stored by a later DelayedAppendArrives
    DelayedAppendArrives,
    ServiceRuns,
    ServiceResponseLost, // the action runs, but its response is lost
    ServiceDidNotRun,
    ServiceTimesOut, // the action does not run, and the daemon gets no response
    Pause,
    Resume,
    Crash,
    TruncateLog,
    ToggleOutage,
    Count, // number of kinds
};

// A simulated event; target and parameter select the daemon, key, message or duration, as its kind needs.
struct LedgerEvent {
    LedgerEventKind kind = LedgerEventKind::SendRequest;
    unsigned target = 0;
    unsigned parameter = 0;
};

std::ostream& operator<<(std::ostream&, const LedgerEvent&);

/** \brief Generates any event, with those needed for progress more often than faults. \returns the generator */
rc::Gen<LedgerEvent> anyLedgerEvent();

}

#endif
