/*
 * Promotion, fencing and acknowledgement in one database group.
 *
 * Three members replicate asynchronously. A write is acknowledged once a second member confirms its position in the same term.
 * Control commits a new term, fences a majority, promotes the highest (lastTerm, position) among the fenced and lets the others
 * follow. The old primary may be cut off at any time and come back; a member restarts; confirmations arrive late.
 *
 * Bounds: 3 members, 3 terms, 2 writes by callers, logs of at most 2 entries, 1 restart.
 * Left out: the proxies' lease on their view, a second fence that this property does not need; the time that steps take.
 *
 * Properties: an acknowledged write is in the log of every primary of a later term, from its promotion on; a term has one primary.
 *
 * safeguards: CONFIRM FENCE DURABLE_FENCE HIGHEST MAJORITY TRUNCATE TERM_CHECK COMMIT_CHOICE
 */

#define MEMBERS 3
#define TERMS 3
#define WRITES 2
#define LOG 2
#define NOBODY 9
#define BIT(member) (1 << (member))
#define ENTRY(member, at) ((member) * LOG + (at))

/* Logs: the term in which an entry was written and the write that it carries. */
byte entryTerm[6];
byte entryWrite[6];
byte position[MEMBERS];
byte fencedAt[MEMBERS];    /* highest term seen; older work is refused */
byte servesTerm[MEMBERS];  /* term in which the member is primary, 0 if it is not */
byte followsTerm[MEMBERS]; /* term whose primary the member follows */
bool restarted = false;

/* Control's replicated state, which outlives any leader of control. */
byte term = 1;
byte primary = 0; /* NOBODY while a promotion is under way */
byte chosen = 0;  /* member that is to be promoted, committed before it is told */
byte fenced = 0;  /* members that answered the fence of this term, as bits */

/* What callers see. */
byte nextWrite = 1;
byte writeTerm[3];
byte writePosition[3];
bool confirmed[3]; /* the confirmation is on its way */
bool acknowledged[3];

hidden byte at;
hidden byte found;
hidden byte best;
hidden byte bestTerm;
hidden byte lastTerm;

inline lookUpLastTerm(member)
{
    if
    :: position[member] == 0 -> lastTerm = 0
    :: else -> lastTerm = entryTerm[ENTRY(member, position[member] - 1)]
    fi
}

inline lookUp(member, write)
{
    found = false;
    at = 0;
    do
    :: at >= position[member] -> break
    :: else ->
        if
        :: entryWrite[ENTRY(member, at)] == write -> found = true
        :: else -> skip
        fi;
        at++
    od
}

/* A caller's write reaches a member that believes it is primary. */
inline runWrite(member)
{
    d_step {
        entryTerm[ENTRY(member, position[member])] = servesTerm[member];
        entryWrite[ENTRY(member, position[member])] = nextWrite;
        position[member]++;
        writeTerm[nextWrite] = servesTerm[member];
        writePosition[nextWrite] = position[member];
#ifdef WITHOUT_CONFIRM
        confirmed[nextWrite] = true;
#endif
        nextWrite++
    }
}

#define canWrite(member) (nextWrite <= WRITES && servesTerm[member] != 0 && position[member] < LOG)

/* A replica copies one entry of the primary that it follows. */
inline replicate(source, replica)
{
    d_step {
        entryTerm[ENTRY(replica, position[replica])] = entryTerm[ENTRY(source, position[replica])];
        entryWrite[ENTRY(replica, position[replica])] = entryWrite[ENTRY(source, position[replica])];
        position[replica]++
    }
}

#ifdef WITHOUT_FENCE
#define admits(member, work) (true)
#else
#define admits(member, work) (fencedAt[member] <= (work))
#endif

#define canReplicate(source, replica) (servesTerm[source] != 0 && servesTerm[replica] == 0 \
    && followsTerm[replica] == servesTerm[source] && admits(replica, servesTerm[source]) && position[replica] < position[source])

#ifdef WITHOUT_TERM_CHECK
#define sameTerm(member, write) (true)
#else
#define sameTerm(member, write) (followsTerm[member] == writeTerm[write] && admits(member, writeTerm[write]))
#endif

#define canConfirm(member, write) ((write) < nextWrite && !confirmed[write] && servesTerm[member] != writeTerm[write] \
    && position[member] >= writePosition[write] && sameTerm(member, write))

/* The proxy acknowledges when the confirmation has reached it, at any later time. */
inline acknowledge(write)
{
    d_step {
        acknowledged[write] = true;
        if
        :: primary != NOBODY && term > writeTerm[write] -> lookUp(primary, write); assert(found)
        :: else -> skip
        fi
    }
}

inline fence(member)
{
    d_step {
        fencedAt[member] = term;
#ifndef WITHOUT_FENCE
        servesTerm[member] = 0;
#endif
        fenced = fenced | BIT(member)
    }
}

#ifdef WITHOUT_MAJORITY
#define enoughFenced (fenced != 0)
#else
#define enoughFenced (fenced == 3 || fenced == 5 || fenced == 6 || fenced == 7)
#endif

inline consider(member)
{
    lookUpLastTerm(member);
    if
    :: (fenced & BIT(member)) == 0 -> skip
#ifdef WITHOUT_HIGHEST
    :: (fenced & BIT(member)) != 0 && best == NOBODY -> best = member
    :: (fenced & BIT(member)) != 0 && best != NOBODY -> skip
#else
    :: (fenced & BIT(member)) != 0 && (best == NOBODY || lastTerm > bestTerm || (lastTerm == bestTerm && position[member] > position[best])) ->
        best = member;
        bestTerm = lastTerm
    :: else -> skip
#endif
    fi
}

inline mustHold(member, write)
{
    if
    :: acknowledged[write] -> lookUp(member, write); assert(found)
    :: else -> skip
    fi
}

inline choose()
{
    d_step {
        best = NOBODY;
        bestTerm = 0;
        consider(0);
        consider(1);
        consider(2);
        chosen = best
    }
}

/* The chosen member is told; the call may be repeated, by another leader of control too. */
inline promote()
{
    d_step {
        assert(servesTerm[0] != term && servesTerm[1] != term && servesTerm[2] != term);
        servesTerm[chosen] = term;
        followsTerm[chosen] = term;
        mustHold(chosen, 1);
        mustHold(chosen, 2)
    }
}

/* A member follows the new primary and drops what its log holds beyond the common beginning. */
inline follow(member)
{
    d_step {
        fencedAt[member] = term;
        servesTerm[member] = 0;
        followsTerm[member] = term;
#ifndef WITHOUT_TRUNCATE
        at = 0;
        do
        :: at >= position[member] -> break
        :: else ->
            if
            :: at >= position[primary] -> break
            :: else ->
                if
                :: entryTerm[ENTRY(member, at)] != entryTerm[ENTRY(primary, at)] -> break
                :: else -> at++
                fi
            fi
        od;
        position[member] = at;
#endif
        skip
    }
}

/* Log and fence are on disk; without a durable fence the member comes up as it was in the first term. */
inline restart(member)
{
    d_step {
        restarted = true;
#ifdef WITHOUT_DURABLE_FENCE
        fencedAt[member] = 1;
        followsTerm[member] = 1;
        if
        :: member == 0 -> servesTerm[member] = 1
        :: else -> skip
        fi;
#endif
        skip
    }
}

#define MEMBER_STEPS(member) \
    :: canWrite(member) -> runWrite(member) \
    :: canConfirm(member, 1) -> confirmed[1] = true \
    :: canConfirm(member, 2) -> confirmed[2] = true \
    :: primary == NOBODY && (fenced & BIT(member)) == 0 -> fence(member) \
    :: primary != NOBODY && primary != member && followsTerm[member] != term -> follow(member) \
    :: !restarted -> restart(member)

active proctype Group()
{
    d_step {
        servesTerm[0] = 1;
        followsTerm[0] = 1; followsTerm[1] = 1; followsTerm[2] = 1;
        fencedAt[0] = 1; fencedAt[1] = 1; fencedAt[2] = 1
    }
end:
    do
    MEMBER_STEPS(0)
    MEMBER_STEPS(1)
    MEMBER_STEPS(2)
    :: canReplicate(0, 1) -> replicate(0, 1)
    :: canReplicate(0, 2) -> replicate(0, 2)
    :: canReplicate(1, 0) -> replicate(1, 0)
    :: canReplicate(1, 2) -> replicate(1, 2)
    :: canReplicate(2, 0) -> replicate(2, 0)
    :: canReplicate(2, 1) -> replicate(2, 1)
    :: confirmed[1] && !acknowledged[1] -> acknowledge(1)
    :: confirmed[2] && !acknowledged[2] -> acknowledge(2)
    :: primary != NOBODY && term < TERMS -> d_step { term++; primary = NOBODY; chosen = NOBODY; fenced = 0 }
    :: chosen == NOBODY && enoughFenced -> choose()
    :: chosen != NOBODY && primary == NOBODY && servesTerm[chosen] != term -> promote()
    :: chosen != NOBODY && primary == NOBODY && servesTerm[chosen] == term -> primary = chosen
#ifdef WITHOUT_COMMIT_CHOICE
    /* A new leader of control knows nothing of the choice. */
    :: primary == NOBODY && chosen != NOBODY -> chosen = NOBODY
#endif
    od
}
