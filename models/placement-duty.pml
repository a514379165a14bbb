// mutants: IGNORE_EXPECTED_COUNT KEEP_PENDING_FOREVER COUNT_COPIES_ON_ORDER FORGET_PENDING_AT_ONCE
// witnesses: SEES_TWO_HOLDERS SEES_REFUSED_ORDER SEES_LATE_ORDER_AFTER_NEWER SEES_EMPTY_RESTART
// pan: -m400000 -w24
//
// The duty to place layers, as docs/design/platform.md describes it and the classes PlacementController and LayerRepair do it.
//
// Two cases: the duty moves and engines restart; or one daemon keeps the duty, gives engines with nothing further copies, and an
// engine is removed for good.
//
// The program counts copies on order as the mutant COUNT_COPIES_ON_ORDER does: see KNOWN-RED.txt.
//
// Two daemons order engines to hold layers, each while it believes to have the duty. The store moves the duty at any moment, and
// both may believe to have it for a while. An engine's entry in the registry lags behind the engine. An order takes two steps: the
// engine's report, then the order with the count of accepted orders that the report gave. An order's answer may be lost; the order
// is then dropped, or carried out at any later time, whatever the engine did since. Engines restart empty, with a count of zero.
//
// A pending order is forgotten at any moment after the engine's entry is up to date: PlacementController keeps it for longer than a load
// and a heartbeat take.
//
// Holds: an order that is carried out in time finds the layers that its sender saw, within one run of the engine. While one daemon
// alone orders and no engine restarts, no order takes a layer's last copy. Once faults end, every layer is held. Two daemons that
// both order may undo each other's work for as long as both do; that it ends is not shown.

#define ENGINES 3
#define LAYERS 2
#define NOTHING 0 /* otherwise the layer held, from 1 */
#define REMOVED 3 /* the engine is gone for good */

#ifndef FAULTS
#define FAULTS 2 /* moves of the duty, lost answers, restarts and removals of engines, together */
#endif
#define MAXIMUM_COUNT 6 /* orders that an engine accepts in one run; longer paths are cut off */

// What the mutants change.
#ifdef IGNORE_EXPECTED_COUNT
#define COUNT_FITS true
#else
#define COUNT_FITS (count[engine] == seenCount)
#endif
#ifdef KEEP_PENDING_FOREVER
#define MAY_FORGET(engine) false
#else
#ifdef FORGET_PENDING_AT_ONCE
#define MAY_FORGET(engine) true
#else
#define MAY_FORGET(engine) (listed[engine] == holds[engine])
#endif
#endif
#ifdef COUNT_COPIES_ON_ORDER
#define IS_COPY(engine) true
#else
#define IS_COPY(engine) (PENDING(engine) == NOTHING)
#endif

// Witnesses: the model reaches what it is there for. Each makes an assertion fail where it does.
#ifdef SEES_TWO_HOLDERS
#define ORDER_CARRIED_OUT assert(!(believes[0] && believes[1]))
#else
#define ORDER_CARRIED_OUT skip
#endif
#ifdef SEES_REFUSED_ORDER
#define ORDER_REFUSED assert(false)
#else
#define ORDER_REFUSED skip
#endif
#ifdef SEES_LATE_ORDER_AFTER_NEWER
#define LATE_ORDER_CARRIED_OUT assert(count[lateEngine] == lateCount)
#else
#define LATE_ORDER_CARRIED_OUT skip
#endif
#ifdef SEES_EMPTY_RESTART
#define ENGINE_RESTARTED(engine) assert(holds[engine] == NOTHING)
#else
#define ENGINE_RESTARTED(engine) skip
#endif

byte holds[ENGINES];  // the layer that an engine holds
byte count[ENGINES];  // orders that it accepted in this run
byte starts[ENGINES]; // its restarts
byte listed[ENGINES]; // its layer as its entry in the registry shows it
byte pending[6];      // by daemon and engine: the layer of an order that may not have been carried out yet
bool believes[2];
bool cutOff = false;
bool alone; // one daemon keeps the duty; engines with nothing get further copies and one may be removed
bool disturbed = false; // an engine restarted, the duty moved, or an order was carried out late

byte lateEngine, lateLayer, lateCount;
bool lateWaits = false;
byte faults = FAULTS;

// What a daemon takes an engine to hold, itself or by a pending order.
#define PENDING(engine) pending[self * ENGINES + (engine)]
#define KNOWN(engine) (PENDING(engine) -> PENDING(engine) : listed[engine])
#define IS_KNOWN(layer) (KNOWN(0) == layer || KNOWN(1) == layer || KNOWN(2) == layer)
#define MISSING (!IS_KNOWN(1) -> 1 : (!IS_KNOWN(2) -> 2 : NOTHING))
#define HAS_COPY_AT(engine, other) (KNOWN(other) == KNOWN(engine) && IS_COPY(other))
// Engines that may be given another layer: those with nothing, and, where there are none, those whose layer another engine holds.
#define IS_EMPTY(engine) (KNOWN(engine) == NOTHING)
#define IS_REDUNDANT(engine) (PENDING(engine) == NOTHING && listed[engine] != REMOVED && (HAS_COPY_AT(engine, (engine + 1) % 3) || HAS_COPY_AT(engine, (engine + 2) % 3)))
#define IS_SPARE(engine) (IS_EMPTY(engine) || (!HAS_EMPTY && IS_REDUNDANT(engine)))

#define IS_HELD(layer) (holds[0] == layer || holds[1] == layer || holds[2] == layer)

#define HAS_EMPTY (IS_EMPTY(0) || IS_EMPTY(1) || IS_EMPTY(2))
#define HAS_SPARE (IS_SPARE(0) || IS_SPARE(1) || IS_SPARE(2))

inline carryOut(engine, layer)
{
    assert(disturbed || holds[engine] == NOTHING || holds[(engine + 1) % 3] == holds[engine] || holds[(engine + 2) % 3] == holds[engine]);
    count[engine]++;
    cutOff = cutOff || count[engine] == MAXIMUM_COUNT;
    holds[engine] = layer
}

proctype Daemon(byte self)
{
    byte engine, layer, seenLayer, seenCount, seenStarts;

end:
    do
    :: atomic {
           !cutOff && believes[self] && HAS_SPARE && (MISSING != NOTHING || (alone && HAS_EMPTY)) ->
           if
           :: MISSING != NOTHING -> layer = MISSING
           :: MISSING == NOTHING -> layer = 1 // a further copy for engines with nothing
           fi;
           if
           :: IS_SPARE(0) -> engine = 0
           :: IS_SPARE(1) -> engine = 1
           :: IS_SPARE(2) -> engine = 2
           fi;
           PENDING(engine) = layer
       }
       // The report.
       atomic {
           seenLayer = holds[engine];
           seenCount = count[engine];
           seenStarts = starts[engine]
       }
       // The order, unless the report or the duty say that none is due.
       atomic {
           if
           :: seenLayer == layer || !believes[self] -> skip
           :: holds[engine] == REMOVED -> PENDING(engine) = NOTHING
           :: holds[engine] != REMOVED && seenLayer != layer && believes[self] && COUNT_FITS ->
              assert(starts[engine] != seenStarts || holds[engine] == seenLayer);
              ORDER_CARRIED_OUT;
              carryOut(engine, layer)
           :: holds[engine] != REMOVED && seenLayer != layer && believes[self] && !COUNT_FITS ->
              ORDER_REFUSED;
              PENDING(engine) = NOTHING
           :: holds[engine] != REMOVED && seenLayer != layer && believes[self] && faults > 0 && !lateWaits ->
              faults--;
              if
              :: skip // dropped
              :: lateWaits = true; lateEngine = engine; lateLayer = layer; lateCount = seenCount
              fi
           fi;
           layer = 0; engine = 0; seenLayer = 0; seenCount = 0; seenStarts = 0
       }
    :: atomic { PENDING(0) != NOTHING && MAY_FORGET(0) -> PENDING(0) = NOTHING }
    :: atomic { PENDING(1) != NOTHING && MAY_FORGET(1) -> PENDING(1) = NOTHING }
    :: atomic { PENDING(2) != NOTHING && MAY_FORGET(2) -> PENDING(2) = NOTHING }
    od
}

// The registry follows the engines, and late orders are carried out.
proctype Platform()
{
end:
    do
    :: atomic {
           listed[0] != holds[0] || listed[1] != holds[1] || listed[2] != holds[2] ->
           listed[0] = holds[0];
           listed[1] = holds[1];
           listed[2] = holds[2]
       }
    :: atomic {
           lateWaits ->
           lateWaits = false;
           disturbed = true;
           if
           :: holds[lateEngine] == REMOVED
           :: else -> LATE_ORDER_CARRIED_OUT; carryOut(lateEngine, lateLayer)
           fi;
           lateEngine = 0; lateLayer = 0; lateCount = 0
       }
    od
}

proctype Faults()
{
    byte engine;
    bool removed = false;

    do
    :: atomic {
           faults > 0 && !alone ->
           faults--;
           disturbed = true;
           // The new holder may begin before the old one knows.
           if
           :: believes[0] = true; believes[1] = true
           :: believes[0] = false; believes[1] = true
           :: believes[0] = true; believes[1] = false
           fi
       }
    :: atomic {
           faults > 0 && !alone ->
           faults--;
           disturbed = true;
           if
           :: holds[0] != REMOVED -> engine = 0
           :: holds[1] != REMOVED -> engine = 1
           :: holds[2] != REMOVED -> engine = 2
           fi;
           ENGINE_RESTARTED(engine);
           holds[engine] = NOTHING;
           count[engine] = 0;
           starts[engine]++;
           engine = 0
       }
    :: atomic {
           faults > 0 && alone && !removed ->
           faults--;
           removed = true;
           if
           :: holds[0] = REMOVED
           :: holds[1] = REMOVED
           :: holds[2] = REMOVED
           fi
       }
    :: break
    od;
    // One daemon is left with the duty.
    atomic {
        if
        :: believes[0] && believes[1] -> believes[0] = false
        :: else
        fi
    }
    timeout ->
    assert(cutOff || (IS_HELD(1) && IS_HELD(2)))
}

init
{
    atomic {
        believes[0] = true;
        if
        :: alone = true
        :: alone = false
        fi;
        run Daemon(0);
        run Daemon(1);
        run Platform();
        run Faults()
    }
}
