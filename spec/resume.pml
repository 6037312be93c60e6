/*
 * Late orders to receive writes, in a group that replicates by rules of its platform.
 *
 * A primary that control cannot reach acknowledges a write once one of two replicas has received it. After an earlier election replica 1 was ordered
 * to receive writes again; the order got no answer and may be carried out at any time until it is over. The next election pauses the replicas and
 * chooses among their reports. The leader may change at any time; the next one knows only what is recorded.
 *
 * Bounds: 2 replicas, one confirmation, 3 writes, one late order, one change of the leader.
 * Left out: the primary's own report, members that join or leave (spec/choice.pml); orders that carry a term.
 *
 * Property: the chosen replica has each acknowledged write when it is promoted.
 *
 * safeguards: RECORD LASTING AFTER_THE_ORDER
 */

#define WRITES 3
#define NOBODY 9
#define LATE 1

byte writes = 0;
byte position[2];
bool paused[2];
byte acknowledged = 0;

bool sent = false;      /* the order was sent */
bool open = false;      /* it may still be carried out */
bool over = false;      /* control takes it to be carried out no more */
bool recorded = false;
bool isKnown = false;   /* the leader knows of it */
bool changed = false;

bool election = false;
bool reported[2];
byte report[2];
bool wasPaused[2];      /* when it reported */
bool wasLasting[2];     /* when it reported, no order could end the pause */
byte chosen = NOBODY;
bool promoted = false;

#define mayResume(replica) ((replica) == LATE && isKnown && !over)

#ifdef WITHOUT_LASTING
#define isFinal(replica) (wasPaused[replica])
#else
#ifdef WITHOUT_AFTER_THE_ORDER
#define isFinal(replica) (wasPaused[replica] && !mayResume(replica))
#else
#define isFinal(replica) (wasPaused[replica] && wasLasting[replica])
#endif
#endif

inline receive(replica)
{
    atomic {
        position[replica] = position[replica] + 1;
        if
        :: position[replica] > acknowledged -> acknowledged = position[replica]
        :: else -> skip
        fi
    }
}

inline tell(replica)
{
    atomic {
        reported[replica] = true;
        report[replica] = position[replica];
        wasPaused[replica] = paused[replica];
        wasLasting[replica] = !mayResume(replica)
    }
}

#define REPLICA(replica, other) \
    :: !promoted && !paused[replica] && position[replica] < writes -> receive(replica) \
    :: election && chosen == NOBODY && !paused[replica] -> paused[replica] = true \
    :: election && chosen == NOBODY -> tell(replica) \
    :: election && chosen == NOBODY && reported[replica] && reported[other] && isFinal(other) && report[other] <= report[replica] -> \
        chosen = replica

active proctype Group()
{
end:
    do
    :: !promoted && writes < WRITES -> writes++
    REPLICA(0, 1)
    REPLICA(1, 0)
    :: !election && !sent ->
        atomic {
            sent = true;
            open = true;
            isKnown = true;
#ifndef WITHOUT_RECORD
            recorded = true
#endif
        }
    :: open -> atomic { open = false; paused[LATE] = false }
    :: sent && !over -> atomic { over = true; open = false }
    :: !changed -> atomic { changed = true; isKnown = recorded; reported[0] = false; reported[1] = false }
    :: !election -> election = true
    :: chosen != NOBODY && !promoted -> atomic { promoted = true; assert(position[chosen] >= acknowledged) }
    od
}
