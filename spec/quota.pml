/*
 * Allocation of a part of a customer's quota: at most one proxy allocates it at a time.
 *
 * A holds the part under view 1. B joins at any moment, and view 2 gives the part to B. A may be cut off: its heartbeats, their
 * answers and the view may be late or lost. A goes on allocating for HOLD_OVER after its lease has expired. Control settles B, which
 * then allocates, SETTLE after B joined (controller::VmSettling, forwarding::FleetQuota, control::LeaseKeeper).
 *
 * safeguards: FLOOR SENT EXPIRY WAIT
 */

#define LEASE 2
#define HOLD_OVER 3
#define SETTLE 6 /* longer than LEASE + HOLD_OVER */
#define END 14

byte now = 1;
byte viewOfA = 1;
byte leaseOfA = 1 + LEASE;
/* When B joined; 0: not yet. */
byte joined = 0;
bool settled = false;

bool beat = false;
byte beatSent = 0;
bool grant = false;
byte grantSent = 0;
byte grantFloor = 0;

#ifdef WITHOUT_EXPIRY
#define A_ALLOCATES (viewOfA == 1)
#else
#define A_ALLOCATES (viewOfA == 1 && now < leaseOfA + HOLD_OVER)
#endif
#define B_ALLOCATES settled

inline extend(expiry)
{
    if
    :: expiry > leaseOfA -> leaseOfA = expiry
    :: else -> skip
    fi
}

active proctype fleet()
{
    do
    :: atomic { now < END -> now++ }
    /* A's heartbeat carries the time at which A sent it. */
    :: atomic { !beat && !grant -> beat = true; beatSent = now }
    /* Control grants a lease for its newest view. */
    :: atomic {
        beat -> beat = false; grant = true; grantSent = beatSent;
        if
        :: joined > 0 -> grantFloor = 2
        :: else -> grantFloor = 1
        fi
    }
    :: atomic { beat -> beat = false }
    :: atomic { grant -> grant = false }
    :: atomic {
        grant -> grant = false;
        if
#ifdef WITHOUT_FLOOR
        :: true ->
#else
        :: viewOfA >= grantFloor ->
#endif
#ifdef WITHOUT_SENT
            extend(now + LEASE)
#else
            extend(grantSent + LEASE)
#endif
#ifndef WITHOUT_FLOOR
        :: else -> skip
#endif
        fi
    }
    :: atomic { joined == 0 -> joined = now }
    :: atomic { joined > 0 && viewOfA == 1 -> viewOfA = 2 }
    :: atomic {
#ifdef WITHOUT_WAIT
        joined > 0 && !settled -> settled = true
#else
        joined > 0 && !settled && now >= joined + SETTLE -> settled = true
#endif
    }
    :: now == END -> break
    od
}

active proctype monitor()
{
    do
    :: atomic { A_ALLOCATES && B_ALLOCATES -> assert(false) }
    :: now == END -> break
    od
}
