// mutants: ACCEPT_ANY_CHECKPOINT DROP_BASE_CHECK ADOPT_BEHIND_GAP ADOPT_OLDER FORGET_WAITING_RECORDS
// witnesses: SEES_FRESH_READER SEES_LATE_CHECKPOINT SEES_REFUSED_CHANGE SEES_PEER_OVER_GAP
// pan: -m100000 -w24
//
// The configuration fold of one scope over a log that forgets, with checkpoints and peers, as
// docs/design/configuration.md describes it and the class ConfigurationFold does it.
//
// Operators race: a change may rest on any view of what was in force, old or new, and may be appended twice.
// Checkpoints and peers' answers may be as late as they like: each covers the records before any offset.
// One daemon reads. It stands for all of them: what others write is what the daemon would have held at that
// offset, and the assertion shows that it always holds that. It may stop for any time, be replaced by a
// fresh one, and find that the log has forgotten what it never read.
//
// Holds: what the daemon has in force is what all records before `applied` bring about, however it came to
// know it; and it never goes back.

#ifndef LENGTH
#define LENGTH 5 /* records ever appended */
#endif

#define CHANGE 1
#define CHECKPOINT 2

// What the mutants change.
#ifdef ACCEPT_ANY_CHECKPOINT
#define CHECKPOINT_COUNTS(offset) true
#else
#define CHECKPOINT_COUNTS(offset) (covers[offset] >= start)
#endif
#ifdef DROP_BASE_CHECK
#define BASE_HOLDS(offset) true
#else
#define BASE_HOLDS(offset) (base[offset] == revision)
#endif
#ifdef ADOPT_BEHIND_GAP
#define IS_AFTER_GAP(next) true
#else
#define IS_AFTER_GAP(next) (!gap || next >= start)
#endif
#ifdef ADOPT_OLDER
#define IS_FURTHER(next) true
#else
#define IS_FURTHER(next) (next > applied)
#endif
#ifdef FORGET_WAITING_RECORDS
#define REPLAY_START(next) readTo
#else
#define REPLAY_START(next) (next > start -> next : start)
#endif

// Witnesses: the model reaches what it is there for. Each makes an assertion fail where it does.
#ifdef SEES_FRESH_READER
#define FRESH_READER_STARTS assert(revision != 0)
#else
#define FRESH_READER_STARTS skip
#endif
#ifdef SEES_LATE_CHECKPOINT
#define LATE_CHECKPOINT_IGNORED assert(false)
#else
#define LATE_CHECKPOINT_IGNORED skip
#endif
#ifdef SEES_REFUSED_CHANGE
#define CHANGE_REFUSED assert(false)
#else
#define CHANGE_REFUSED skip
#endif
#ifdef SEES_PEER_OVER_GAP
#define PEER_TAKEN assert(!gap)
#else
#define PEER_TAKEN skip
#endif

// The log. A revision is the offset of its change plus 1; 0 is none.
byte length = 0;
byte oldest = 0;
byte kind[LENGTH];
byte base[LENGTH];   // of a change
byte covers[LENGTH]; // of a checkpoint: every record before this offset
byte inForce[LENGTH + 1]; // specification: the revision after all records before an offset

// What the daemon knows.
byte applied = 0;  // every record before it is taken into account
byte revision = 0;
bool gap = false;  // records between applied and start are missing
byte start = 0;
byte readTo = 0;

// Scratch.
byte i = 0;
byte chosen = 0;

inline choose(limit)
{
    chosen = 0;
    do
    :: chosen < limit -> chosen++
    :: break
    od
}

inline applyRecord(offset)
{
    if
    :: kind[offset] == CHANGE && BASE_HOLDS(offset) -> revision = offset + 1
    :: kind[offset] == CHANGE && !BASE_HOLDS(offset) -> CHANGE_REFUSED
    :: kind[offset] == CHECKPOINT -> skip
    fi
}

// Starts from a known state and takes the records into account that were read since.
inline restore(next)
{
    applied = next;
    revision = inForce[next];
    if
    :: gap ->
        i = REPLAY_START(next);
        do
        :: i < readTo -> applyRecord(i); i++
        :: else -> break
        od;
        applied = (readTo > next -> readTo : next);
        gap = false;
        start = 0;
        readTo = 0;
        i = 0
    :: else -> skip
    fi;
    assert(revision == inForce[applied])
}

inline readNext()
{
    if
    :: (gap -> readTo : applied) < oldest ->
        gap = true;
        start = oldest;
        readTo = oldest
    :: else -> skip
    fi;
    if
    :: !gap && applied < length ->
        applyRecord(applied);
        applied++;
        assert(revision == inForce[applied])
    :: gap && readTo < length ->
        readTo++;
        if
        :: kind[readTo - 1] == CHECKPOINT && CHECKPOINT_COUNTS(readTo - 1) ->
            FRESH_READER_STARTS;
            restore(covers[readTo - 1])
        :: kind[readTo - 1] == CHECKPOINT && !CHECKPOINT_COUNTS(readTo - 1) ->
            LATE_CHECKPOINT_IGNORED
        :: else -> skip
        fi
    :: else -> skip
    fi
}

inline adopt(next)
{
    if
    :: IS_FURTHER(next) && IS_AFTER_GAP(next) ->
        assert(next >= applied);
        PEER_TAKEN;
        restore(next)
    :: else -> skip
    fi
}

active proctype Writers()
{
end:
    do
    :: atomic {
        length < LENGTH ->
        choose(length);
        if
        :: kind[length] = CHANGE;
           base[length] = inForce[chosen];
           inForce[length + 1] = (inForce[chosen] == inForce[length] -> length + 1 : inForce[length])
        :: kind[length] = CHECKPOINT;
           covers[length] = chosen;
           inForce[length + 1] = inForce[length]
        fi;
        length++;
        chosen = 0
       }
    :: atomic { oldest < length -> oldest++ }
    od
}

active proctype Daemon()
{
end:
    do
    :: atomic { (gap -> readTo : applied) < length -> readNext() }
    :: atomic {
        choose(length);
        adopt(chosen);
        chosen = 0
       }
    :: atomic {
        applied = 0;
        revision = 0;
        gap = false;
        start = 0;
        readTo = 0
       }
    od
}
