// mutants: TOKEN_WITHOUT_ERA TAKE_OUTDATED_ANSWER KEEP_LEASE_ACROSS_ERAS
// witnesses: SEES_REFUSED_ORDER SEES_GRANT_AFTER_RESTART
// pan: -m200000 -w22
//
// The term for which a daemon holds the placement lease, as the classes LeaseTracker and StoreEraTracker do it.
//
// The store grants the lease to one daemon at a time and counts generations. It may restart from an older copy: the era rises, the
// generation goes back, and nobody holds the lease. Its answers to claims arrive at any later time, also after an answer of a newer era
// has. Daemons tell each other the era. A daemon may be paused at any point, so that it still believes to hold a lease that has expired.
// An engine refuses orders whose fencing token is lower than one that it has seen.
//
// Holds: an engine never accepts an order of an earlier grant after one of a later grant, and never refuses the orders of the daemon
// that holds the lease in the current era.

#define DAEMONS 2
#define NOBODY 2
#define GENERATIONS 8 /* generations of one era; no path reaches the limit */
#define RESTARTS 2
#define EXPIRIES 2

#ifdef TOKEN_WITHOUT_ERA
#define TOKEN (generation[self])
#else
#define TOKEN (knownEra[self] * GENERATIONS + generation[self])
#endif
#ifdef TAKE_OUTDATED_ANSWER
#define USABLE(era) true
#else
#define USABLE(era) (era >= knownEra[self])
#endif
#ifdef KEEP_LEASE_ACROSS_ERAS
#define GIVE_UP skip
#else
#define GIVE_UP held[self] = false; generation[self] = 0
#endif
#ifdef SEES_REFUSED_ORDER
#define ORDER_REFUSED assert(false)
#else
#define ORDER_REFUSED skip
#endif
#ifdef SEES_GRANT_AFTER_RESTART
#define GRANTED assert(storeEra == 1)
#else
#define GRANTED skip
#endif

byte storeEra = 1;
byte storeGeneration = 0;
byte copyGeneration = 0; // generation in the copy from which the store restarts
byte holder = NOBODY;
byte holderGrant = 0;    // number of the holder's grant, over all eras
byte grants = 0;

byte knownEra[DAEMONS] = 1;
byte generation[DAEMONS];
bool held[DAEMONS];
byte grantOf[DAEMONS]; // number of the grant on which the daemon acts

byte tokenSeen = 0; // by the engine
byte grantSeen = 0; // of the last order that the engine accepted

byte restarts = RESTARTS;
byte expiries = EXPIRIES;

chan answers[DAEMONS] = [1] of { byte, byte, bool, byte }; // era, generation, whether granted, number of the grant

inline noteEra(era)
{
    if
    :: era > knownEra[self] -> knownEra[self] = era; GIVE_UP
    :: else
    fi
}

proctype Daemon(byte self)
{
    byte era, answered, grant;
    bool granted;

end:
    do
    // The store carries a claim out; the answer is under way.
    :: atomic {
           empty(answers[self]) && grants < GENERATIONS - 1 ->
           if
           :: holder == NOBODY ->
              storeGeneration++;
              grants++;
              holder = self;
              holderGrant = grants;
              GRANTED
           :: else
           fi;
           answers[self]!storeEra, storeGeneration, (holder == self), holderGrant
       }
    // The answer arrives.
    :: atomic {
           answers[self]?era, answered, granted, grant ->
           if
           :: USABLE(era) ->
              noteEra(era);
              generation[self] = answered;
              held[self] = granted;
              grantOf[self] = (granted -> grant : 0)
           :: else
           fi;
           era = 0; answered = 0; granted = false; grant = 0
       }
    // Another daemon tells the era.
    :: atomic { knownEra[1 - self] > knownEra[self] -> noteEra(knownEra[1 - self]) }
    // An order.
    :: atomic {
           held[self] ->
           if
           :: TOKEN >= tokenSeen ->
              assert(grantOf[self] >= grantSeen);
              tokenSeen = TOKEN;
              grantSeen = grantOf[self]
           :: else ->
              assert(!(holder == self && knownEra[self] == storeEra && grantOf[self] == holderGrant));
              ORDER_REFUSED
           fi
       }
    od
}

proctype Store()
{
end:
    do
    :: atomic { expiries > 0 && holder != NOBODY -> expiries--; holder = NOBODY }
    :: atomic { restarts > 0 -> copyGeneration = storeGeneration } // a copy is made
    :: atomic {
           restarts > 0 ->
           restarts--;
           storeEra++;
           storeGeneration = copyGeneration;
           holder = NOBODY
       }
    od
}

init
{
    atomic {
        run Daemon(0);
        run Daemon(1);
        run Store()
    }
}
