/*
 * Session reads over lagging replicas and ended terms.
 *
 * A session writes and reads through any proxy and carries a token (term, position). A replica may serve its read only if its data
 * covers the token. A promotion keeps the old log up to a position; what lay above is void. The old replica keeps a tail of
 * the ended term until it is told to follow.
 *
 * Bounds: 2 members besides the lost primary, 2 terms, 3 writes, logs of at most 3 entries, one session.
 * Left out: how a promotion chooses (spec/promotion.pml); ages; the wait for a replica.
 *
 * Properties: a read shows every acknowledged write of its session; once a replica has caught up with its primary it may serve the
 * session, whatever the session saw in the ended term.
 *
 * safeguards: TOKEN TERM_IN_TOKEN VOID_TAIL TOKEN_RISES
 */

#define MEMBERS 2
#define LOG 3

byte entryWrite[6];
byte position[MEMBERS];
byte lineage[MEMBERS]; /* term whose primary the member follows or is */
#define ENTRY(member, at) ((member) * LOG + (at))

/* The primary: member 0 in term 1 and member 1 in term 2; in term 1 member 1 is its replica, in term 2 the other way round. */
byte term = 1;
byte keptUpTo = 0;
byte nextWrite = 1;

byte tokenTerm = 0;
byte tokenPosition = 0;
bool mine[4];         /* writes of the session that were acknowledged */
byte at;
byte lateTerm = 0;     /* an answer that is on its way while the session goes on */
byte latePosition = 0;

#define primaryOf(someTerm) ((someTerm) - 1)

inline lookUp(member, write)
{
    at = 0;
    do
    :: at >= position[member] -> assert(false) /* the session misses its own write */
    :: else ->
        if
        :: entryWrite[ENTRY(member, at)] == write -> break
        :: else -> at++
        fi
    od;
    at = 0
}

inline mustShow(member, write)
{
    if
    :: mine[write] -> lookUp(member, write)
    :: else -> skip
    fi
}

inline write(member)
{
    entryWrite[ENTRY(member, position[member])] = nextWrite;
    position[member]++;
    nextWrite++
}

inline raiseToken(newTerm, newPosition)
{
    if
#ifdef WITHOUT_TOKEN_RISES
    :: true -> tokenTerm = newTerm; tokenPosition = newPosition
#else
    :: newTerm > tokenTerm || (newTerm == tokenTerm && newPosition > tokenPosition) -> tokenTerm = newTerm; tokenPosition = newPosition
#endif
    :: else -> skip
    fi
}

/* The session's write, acknowledged since the other member holds it, too. */
inline acknowledgedWrite(primary, other)
{
    d_step {
        mine[nextWrite] = true;
        write(primary);
        raiseToken(lineage[primary], position[primary])
    }
}

#ifdef WITHOUT_VOID_TAIL
#define owed (tokenPosition)
#else
#define owed (tokenPosition > keptUpTo -> keptUpTo : tokenPosition)
#endif

#ifdef WITHOUT_TOKEN
#define covers(member) (true)
#else
#ifdef WITHOUT_TERM_IN_TOKEN
#define covers(member) (position[member] >= tokenPosition)
#else
#define covers(member) ((lineage[member] == tokenTerm && position[member] >= tokenPosition) || (lineage[member] > tokenTerm && position[member] >= owed))
#endif
#endif

inline read(member)
{
    d_step {
        mustShow(member, 1);
        mustShow(member, 2);
        mustShow(member, 3);
        raiseToken(lineage[member], position[member])
    }
}

inline replicate(source, replica)
{
    d_step {
        entryWrite[ENTRY(replica, position[replica])] = entryWrite[ENTRY(source, position[replica])];
        position[replica]++
    }
}

active proctype System()
{
    d_step { lineage[0] = 1; lineage[1] = 1 }
end:
    do
    /* Another caller's write that nobody confirmed yet, and one of the session that the replica confirms before it is acknowledged. */
    :: nextWrite <= 3 && lineage[0] == 1 && position[0] < LOG -> d_step { write(0) }
    :: term == 2 && nextWrite <= 3 && position[1] < LOG -> acknowledgedWrite(1, 0)
    :: term == 1 && nextWrite <= 3 && position[0] < LOG && position[1] == position[0] ->
        acknowledgedWrite(0, 1);
        replicate(0, 1)
    :: lineage[0] == lineage[1] && term == 1 && position[1] < position[0] -> replicate(0, 1)
    :: lineage[0] == lineage[1] && term == 2 && position[0] < position[1] -> replicate(1, 0)
    :: term == 1 -> d_step { term = 2; lineage[1] = 2; keptUpTo = position[1] }
    /* The old primary follows and drops its tail. */
    :: term == 2 && lineage[0] == 1 ->
        d_step {
            lineage[0] = 2;
            if
            :: position[0] > keptUpTo -> position[0] = keptUpTo
            :: else -> skip
            fi
        }
    :: covers(0) -> d_step { lateTerm = lineage[0]; latePosition = position[0] }
    :: lateTerm != 0 -> d_step { raiseToken(lateTerm, latePosition); lateTerm = 0; latePosition = 0 }
    :: covers(0) -> read(0)
    :: covers(1) -> read(1)
    :: lineage[0] == lineage[1] && position[0] == position[1] -> assert(covers(0) && covers(1))
    od
}
