/*
 * Choice of a primary in a group that replicates by rules of its platform.
 *
 * The primary and two replicas serve; a third replica may join, and the first one may leave. A write is acknowledged once one replica has
 * received it. The primary crashes, and may come back with its log. The members report their logs, which are final then, as they receive
 * nothing any more. Control chooses among the reports; the replicated state ignores a member that it does not list.
 *
 * Bounds: 4 members, one confirmation, 2 writes, one departure, one crash.
 * Left out: terms, replicas that are not paused, restarts of replicas (lib/Promotion has random schedules with these).
 *
 * Properties: the chosen member has each acknowledged write; no choice is ignored, as the next one would be the same.
 *
 * safeguards: PRESENT HOLDERS DEPARTED
 */

#define MEMBERS 4
#define WRITES 2
#define NOBODY 9
#define PRIMARY 0
#define LEAVER 1
#define JOINER 3

byte position[MEMBERS];
bool present[MEMBERS];
bool reported[MEMBERS];
bool serves = true;      /* the primary acknowledges writes */
bool ended = false;      /* the term has ended */
bool back = false;       /* the primary has come back after its crash */
bool departed = false;   /* LEAVER has left */
bool covered = false;    /* the primary has told a position that covers what LEAVER confirmed */
byte coveredUpTo;
byte acknowledged;       /* writes up to this one */
byte chosen = NOBODY;

hidden byte member;
hidden byte best;
hidden byte reports;
hidden byte missing;

/* Whether control takes a report into account for the choice itself. */
#ifdef WITHOUT_PRESENT
#define isCandidate(m) (reported[m])
#else
#define isCandidate(m) (reported[m] && present[m])
#endif

#define isBetter(m) (best == NOBODY || position[m] > position[best])
#define isHeldByBest(m) (reported[m] && position[m] <= position[best])

inline chooseBest()
{
    best = NOBODY;
    reports = 0;
    member = 0;
    do
    :: member == MEMBERS -> break
    :: else ->
        if
        :: isCandidate(member) && isBetter(member) -> best = member
        :: else -> skip
        fi;
        if
        :: reported[member] -> reports++
        :: else -> skip
        fi;
        member++
    od
}

/* Counts the replicas that may have confirmed a write which the best candidate lacks. */
inline countMissing()
{
    missing = 0;
    member = 1;
    do
    :: member == MEMBERS -> break
    :: else ->
        if
        :: present[member] && !isHeldByBest(member) -> missing++
#ifndef WITHOUT_DEPARTED
        :: member == LEAVER && departed && !isHeldByBest(member) && !(covered && coveredUpTo <= position[best]) -> missing++
#endif
        :: else -> skip
        fi;
        member++
    od
}

#ifdef WITHOUT_HOLDERS
/* The configured size of three, less one confirmation. */
#define mayChoose (best != NOBODY && reports >= 2)
#else
#define mayChoose (best != NOBODY && (isHeldByBest(PRIMARY) || missing == 0))
#endif

inline choose()
{
    d_step {
        chooseBest();
        if
        :: best != NOBODY -> countMissing()
        :: else -> skip
        fi;
        if
        :: mayChoose -> chosen = best; assert(present[chosen]); assert(position[chosen] >= acknowledged)
        :: else -> skip
        fi;
        best = 0; reports = 0; missing = 0; member = 0
    }
}

#define REPLICA_STEPS(m) \
    :: serves && present[m] && !reported[m] && position[m] < position[PRIMARY] -> position[m]++ \
    :: serves && present[m] && !reported[m] && position[m] > acknowledged -> acknowledged++ \
    :: ended && present[m] && !reported[m] -> reported[m] = true

active proctype Group()
{
    d_step {
        present[0] = true;
        present[1] = true;
        present[2] = true
    }
end:
    do
    :: serves && position[PRIMARY] < WRITES -> position[PRIMARY]++
    REPLICA_STEPS(1)
    REPLICA_STEPS(2)
    REPLICA_STEPS(3)
    :: serves && !present[JOINER] -> d_step { present[JOINER] = true; position[JOINER] = position[PRIMARY] }
    :: present[LEAVER] && present[JOINER] && chosen == NOBODY -> d_step { present[LEAVER] = false; departed = true }
    :: serves && !ended && departed && !covered -> d_step { covered = true; coveredUpTo = position[PRIMARY] }
    :: serves && !ended -> d_step { serves = false; ended = true }
    :: ended && !back -> back = true
    :: ended && back && !reported[PRIMARY] -> reported[PRIMARY] = true
    :: ended && chosen == NOBODY -> choose()
    od
}
