// mutants: DROP_READ_BACK DROP_INCARNATION_CHECK DROP_COVERAGE RETRY_AFTER_SEND TAKE_OVER_CLAIM
// pan: -m100000 -w24
//
// One key's action over several daemons and one log, as docs/design/at-most-once.md describes it.
// A pause is any delay between two steps of a daemon. Appends lose their answer, land late or not
// at all; processes crash and return as a new incarnation with an empty memory; the log drops
// records from its front; callers ask any daemon at any time.

#ifndef DAEMONS
#define DAEMONS 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef RECORDS
#define RECORDS 3
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

mtype = { none, claim, release, outcome, unknown };
mtype = { idle, claiming, held, sent, finished, lost, released };
mtype = { silent, ran, refused };

typedef Record {
    mtype kind = none;
    byte number;
    byte daemon;
    byte incarnation
}

// What a daemon remembers; a crash clears it.
typedef Memory {
    mtype phase = idle;
    byte number;          // of its own attempt
    bit acknowledged;     // the log said that it took the claim
    byte position;        // of the log's record that is read next
    bit covered = 1;      // no record was dropped unread
    mtype state = none;   // the fold of the records read
    byte foldNumber;
    byte foldDaemon;
    byte foldIncarnation;
    mtype reply = silent  // the service's
}

Record records[RECORDS];
byte length = 0;
byte oldest = 0;
Memory memory[DAEMONS];
byte incarnation[DAEMONS];
Record late;              // an append that may still land
byte flying[DAEMONS];     // calls at the service without an answer
byte crashes = 0;

byte effects = 0;
byte ranDaemon;

#define MY memory[me]
#ifdef DROP_READ_BACK
#define ACKNOWLEDGE MY.acknowledged = 1
#else
#define ACKNOWLEDGE skip
#endif
#define FOLD_IS_MINE (MY.foldDaemon == me && MY.foldIncarnation == incarnation[me])

#define CAN_APPEND (length < RECORDS || late.kind == none)
#define BECOME_IDLE MY.phase = idle; MY.number = 0; MY.acknowledged = 0
#define PUT(K, N, D, I) \
    records[length].kind = K; \
    records[length].number = N; \
    records[length].daemon = D; \
    records[length].incarnation = I; \
    length++

// The log takes the record now, or later; a lost answer or a lost append is a repetition away.
inline append(k)
{
    if
    :: length < RECORDS -> PUT(k, MY.number, me, incarnation[me]); ACKNOWLEDGE
    :: late.kind == none ->
        late.kind = k;
        late.number = MY.number;
        late.daemon = me;
        late.incarnation = incarnation[me]
    fi
}

#define NEXT records[MY.position]
#define IS_NEXT_CLAIM (NEXT.kind == claim && ((MY.state == none && NEXT.number == 1) || (MY.state == release && NEXT.number == MY.foldNumber + 1)))
#define IS_NEXT_FROM_HOLDER (NEXT.kind != claim && MY.state == claim && NEXT.number == MY.foldNumber && NEXT.daemon == MY.foldDaemon && NEXT.incarnation == MY.foldIncarnation)

inline readNext()
{
    if
    :: IS_NEXT_CLAIM ->
        MY.state = claim;
        MY.foldNumber = NEXT.number;
        MY.foldDaemon = NEXT.daemon;
        MY.foldIncarnation = NEXT.incarnation
    :: IS_NEXT_FROM_HOLDER -> MY.state = NEXT.kind
    :: else
    fi;
    MY.position++
}

inline forget()
{
    MY.phase = idle;
    MY.number = 0;
    MY.acknowledged = 0;
    MY.position = 0;
    MY.covered = 1;
    MY.state = none;
    MY.foldNumber = 0;
    MY.foldDaemon = 0;
    MY.foldIncarnation = 0;
    MY.reply = silent
}

inline nothingRan()
{
    byte other;
    assert(effects == 0);
    for (other : 0 .. DAEMONS - 1) {
        assert(flying[other] == 0)
    }
}

proctype Daemon(byte me)
{
end:
    do
    // The log.
    :: atomic { MY.position < oldest -> MY.position = oldest; MY.covered = 0 }
    :: atomic { MY.position >= oldest && MY.position < length -> readNext() }

    // A caller asks; a claim is appended, again where its answer was lost.
    :: atomic {
        MY.phase == idle && MY.covered && MY.state == none ->
        MY.phase = claiming; MY.number = 1 }
    :: atomic {
        MY.phase == idle && MY.covered && MY.state == release && MY.foldNumber < ATTEMPTS ->
        MY.phase = claiming; MY.number = MY.foldNumber + 1 }
    :: atomic { MY.phase == claiming && CAN_APPEND && (MY.state == none || MY.foldNumber < MY.number) -> append(claim) }
    :: atomic { MY.phase == claiming && (MY.state == none || MY.foldNumber < MY.number) -> BECOME_IDLE }

    // The claim was read back, or another's came before it.
    :: atomic {
        MY.phase == claiming && MY.state == claim && MY.foldNumber == MY.number && FOLD_IS_MINE ->
        MY.phase = held }
    :: atomic {
        MY.phase == claiming && MY.state != none && MY.foldNumber >= MY.number && !FOLD_IS_MINE ->
        BECOME_IDLE }
#ifdef DROP_READ_BACK
    :: atomic { MY.phase == claiming && MY.acknowledged -> MY.phase = held }
#endif
#ifdef DROP_INCARNATION_CHECK
    :: atomic {
        MY.phase == idle && MY.state == claim && MY.foldDaemon == me ->
        MY.number = MY.foldNumber; MY.phase = held }
#endif
#ifdef TAKE_OVER_CLAIM
    :: atomic {
        MY.phase == idle && MY.state == claim && !FOLD_IS_MINE ->
        MY.number = MY.foldNumber; MY.phase = held }
#endif

    // The one send, or the promise never to send.
#ifdef DROP_COVERAGE
    :: atomic { MY.phase == held -> MY.phase = sent; MY.reply = silent; flying[me]++ }
#else
    :: atomic { MY.phase == held && MY.covered -> MY.phase = sent; MY.reply = silent; flying[me]++ }
#endif
    :: atomic {
        MY.phase == held ->
        MY.phase = released;
        if
        :: MY.covered -> nothingRan() // the callers are told that it did not run
        :: else
        fi }

    // The service's answer, or none.
    :: atomic { MY.phase == sent && MY.reply == ran -> MY.phase = finished; MY.reply = silent }
    :: atomic { MY.phase == sent && MY.reply == refused -> MY.phase = released; MY.reply = silent; nothingRan() }
#ifdef RETRY_AFTER_SEND
    :: atomic { MY.phase == sent -> MY.phase = held; MY.reply = silent }
#else
    :: atomic { MY.phase == sent -> MY.phase = lost; MY.reply = silent }
#endif

    // What became of it goes to the log until it is read back.
    :: atomic { MY.phase == finished && MY.state == claim && CAN_APPEND -> append(outcome) }
    :: atomic { MY.phase == lost && MY.state == claim && CAN_APPEND -> append(unknown) }
    :: atomic { MY.phase == released && MY.state == claim && CAN_APPEND -> append(release) }
    :: atomic {
        (MY.phase == finished || MY.phase == lost || MY.phase == released) && MY.state != claim ->
        BECOME_IDLE }

    // A caller gets the stored outcome.
    :: atomic { MY.state == outcome -> assert(effects == 1 && MY.foldDaemon == ranDaemon) }

    :: atomic { crashes < CRASHES -> crashes++; incarnation[me]++; forget() }
    od
}

proctype Service(byte me)
{
end:
    do
    :: atomic {
        flying[me] > 0 ->
        flying[me]--;
        effects++;
        assert(effects <= 1);
        ranDaemon = me;
        if
        :: MY.phase == sent -> MY.reply = ran
        :: skip // the answer is lost
        fi }
    :: atomic {
        flying[me] > 0 ->
        flying[me]--;
        if
        :: MY.phase == sent -> MY.reply = refused
        :: skip
        fi }
    od
}

active proctype Log()
{
end:
    do
    :: atomic { oldest < length -> oldest++ }
    :: atomic {
        late.kind != none && length < RECORDS ->
        PUT(late.kind, late.number, late.daemon, late.incarnation);
        late.kind = none; late.number = 0; late.daemon = 0; late.incarnation = 0 }
    od
}

init
{
    byte daemon;
    atomic {
        for (daemon : 0 .. DAEMONS - 1) {
            run Daemon(daemon);
            run Service(daemon)
        }
    }
}
