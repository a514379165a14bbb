#ifndef FILBERTSPOKE_LEDGER_EVENT_H
#define FILBERTSPOKE_LEDGER_EVENT_H

#include <rapidcheck.h>

#include <ostream>

namespace filbertspoke::testing {

// One thing that happens; the numbers choose which daemon, key or message it happens to.
enum class LedgerEventKind {
    SendRequest,
    CallerDisconnects,
    AdvanceTime,
    LogResponds,
    LogResponseLost,
    LogRejects,
    LogAppendDelayed,
    DelayedAppendArrives,
    ServiceRuns,
    ServiceResponseLost,
    ServiceDidNotRun,
    ServiceTimesOut,
    Pause,
    Resume,
    Crash,
    TruncateLog,
    ToggleOutage,
    Count,
};

struct LedgerEvent {
    LedgerEventKind kind = LedgerEventKind::SendRequest;
    unsigned target = 0;
    unsigned parameter = 0;
};

std::ostream& operator<<(std::ostream&, const LedgerEvent&);

/** \returns a generator in which what is needed for progress comes more often than faults */
rc::Gen<LedgerEvent> anyLedgerEvent();

}

#endif
