/*
 * At most once: the record of an Idempotency-Key, held by proxies.
 *
 * Three holders keep the record of one key. An attempt asks them to note its start, sends once a majority noted it, and then has
 * the outcome noted. The caller resends to any proxy when no answer comes. Proxies die at any step, holders restart and forget,
 * and the set of holders changes: the third holder of the old set is replaced by another proxy in the new one, and attempts
 * of both sets run at the same time.
 *
 * Bounds: 1 key, 3 attempts, 4 holders of which each set has 3, 2 restarts of holders.
 * Left out: the life of a record, after which a key is refused; the contents of the request.
 *
 * Property: the upstream gets the request at most once; a caller that is told "not run" is told the truth.
 *
 * safeguards: RECORD_FIRST MAJORITY RESTART_DOUBT NEW_HOLDER_DOUBT SINGLE_START ABANDON_UNSENT
 */

#define ATTEMPTS 3
#define NONE 0

/* Attempt that the holder noted as started, 1 to ATTEMPTS; NONE if it noted none. */
byte started[4];
/* A holder in doubt cannot tell "never seen" from "forgotten" and grants nothing. */
bool doubt[4];
/* The holder that only the new set has was not asked before, so it is in doubt from the start. */
#ifdef WITHOUT_NEW_HOLDER_DOUBT
#define inDoubt(holder) (doubt[holder])
#else
#define inDoubt(holder) (doubt[holder] || holder == 3)
#endif
byte restarts = 0;
byte sent = 0;
/* Holders that granted the attempt, as bits. */
byte granted[4];
bool wasSent[4];
bool refused[4];

#define BIT(holder) (1 << (holder))

#ifdef WITHOUT_SINGLE_START
#define mayGrant(holder, attempt) (!inDoubt(holder))
#else
#define mayGrant(holder, attempt) (!inDoubt(holder) && (started[holder] == NONE || started[holder] == attempt))
#endif

/* The old set is holders 0, 1, 2; the new one 1, 2, 3. */
#ifdef WITHOUT_MAJORITY
#define quorum(attempt) (granted[attempt] != 0)
#else
#define quorum(attempt) (granted[attempt] != 1 && granted[attempt] != 2 && granted[attempt] != 4 && granted[attempt] != 8 && granted[attempt] != 0)
#endif

inline grant(holder, attempt)
{
    d_step {
        started[holder] = attempt;
        granted[attempt] = granted[attempt] | BIT(holder)
    }
}

inline release(holder, attempt)
{
    if
    :: started[holder] == attempt -> started[holder] = NONE
    :: else -> skip
    fi
}

inline abandon(attempt)
{
    d_step {
        release(0, attempt);
        release(1, attempt);
        release(2, attempt);
        release(3, attempt);
        refused[attempt] = true
    }
}

inline send(attempt)
{
    d_step {
        sent++;
        wasSent[attempt] = true;
        assert(sent <= 1);
        assert(!refused[attempt])
    }
}

/* One attempt; it stops anywhere when its proxy dies. */
active [ATTEMPTS] proctype Attempt()
{
    byte me = _pid + 1;
    bool newSet = false;
    if
    :: newSet = true
    :: skip
    fi;
end:
    do
    :: atomic { !newSet && mayGrant(0, me) && (granted[me] & BIT(0)) == 0 -> grant(0, me) }
    :: atomic { mayGrant(1, me) && (granted[me] & BIT(1)) == 0 -> grant(1, me) }
    :: atomic { mayGrant(2, me) && (granted[me] & BIT(2)) == 0 -> grant(2, me) }
    :: atomic { newSet && mayGrant(3, me) && (granted[me] & BIT(3)) == 0 -> grant(3, me) }
#ifdef WITHOUT_RECORD_FIRST
    :: !wasSent[me] -> send(me); break
#else
    :: quorum(me) -> send(me); break
#endif
    :: abandon(me); break
    :: break
    od;
#ifdef WITHOUT_ABANDON_UNSENT
    /* Its answer did not come; it releases the key although the request was sent. */
    if
    :: wasSent[me] -> d_step { release(0, me); release(1, me); release(2, me); release(3, me) }
    :: else -> skip
    fi;
#endif
    skip
}

inline restart(holder)
{
    d_step {
        restarts++;
        started[holder] = NONE;
#ifndef WITHOUT_RESTART_DOUBT
        doubt[holder] = true;
#endif
        skip
    }
}

active proctype Restarts()
{
end:
    do
    :: atomic { restarts < 2 -> restart(0) }
    :: atomic { restarts < 2 -> restart(1) }
    :: atomic { restarts < 2 -> restart(2) }
    :: atomic { restarts < 2 -> restart(3) }
    od
}
