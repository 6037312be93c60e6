/*
 * Planned replacement in the control group: three voters, of which one disk may be lost, and successors that have caught up.
 *
 * VMs that are to be replaced for good are asked to stop while their successors stand by as learners. The leader promotes a successor, then
 * makes the stopping member a learner, one committed change at a time (spec/voters.pml), and lets a VM end only when it has no vote any more. A disk
 * may be lost at any moment, as a VM that was removed does not count as lost once its successor has had the time to catch up.
 *
 * Abstracted: any quorum of running voters can elect a leader and commit; an entry is committed by a quorum of the newest members that a running
 * VM holds; what is known is the newest acknowledged entry and which disks hold it. The choice of the leader is left open: it is any member that
 * holds all that was committed, which the election guarantees (spec/voters.pml, spec/election.pml).
 *
 * Bounds: 5 VMs, of which 0 to 2 vote at first and 3 and 4 stand by; 0 and 1 are replaced; one lost disk, after which its VM joins again once.
 * Left out: a change that is proposed and not committed; the limit of the time that a stopping VM waits; VMs that are down but come back.
 *
 * Property: a quorum of the voters runs, and no quorum of running voters lacks the newest acknowledged entry.
 *
 * safeguards: WAIT PROMOTE_FIRST CAUGHT_UP
 */

#define VMS 5
#define BIT(at) (1 << (at))
#define one(bits, at) (((bits) >> (at)) & 1)
#define count(bits) (one(bits, 0) + one(bits, 1) + one(bits, 2) + one(bits, 3) + one(bits, 4) + one(bits, 5))
#define isQuorum(bits) (2 * count((bits) & voters) > count(voters))

/* Replica 5 runs on the VM whose disk was lost. */
byte voters = 7;
byte running = 31;
byte holders = 31;
byte stopping = 0;
byte lost = 7;
byte successors = 24;

#ifdef WITHOUT_WAIT
#define mayEnd(vm) (true)
#else
#define mayEnd(vm) ((voters & BIT(vm)) == 0)
#endif

#ifdef WITHOUT_CAUGHT_UP
#define isReady(vm) (true)
#else
#define isReady(vm) ((holders & BIT(vm)) != 0)
#endif

/* A voter with the newest entry leads, and a quorum follows. */
#define commits (isQuorum(running) && (running & holders & voters) != 0)

/* A quorum of voters takes the next entry at once; a voter that it needs not, and the learners, follow later. */
inline acknowledge()
{
    if
    :: true -> holders = running & voters
    :: isQuorum(running & ~BIT(2)) -> holders = running & voters & ~BIT(2)
    fi
}

inline check()
{
    assert(isQuorum(running));
    /* No quorum without a holder: the disks without the newest entry are no quorum. */
    assert(!isQuorum(running & ~holders))
}

#define STOP(vm) \
    :: (stopping & BIT(vm)) == 0 -> stopping = stopping | BIT(vm)

#define END(vm) \
    :: (stopping & BIT(vm)) != 0 && (running & BIT(vm)) != 0 && mayEnd(vm) -> \
        atomic { running = running & ~BIT(vm); holders = holders & ~BIT(vm); check() }

#ifdef WITHOUT_PROMOTE_FIRST
#define mayPromote(vm) ((running & BIT(vm)) != 0 && (voters & BIT(vm)) == 0 && (stopping & BIT(vm)) == 0 && isReady(vm) && commits && count(voters) < 3)
#define mayDemote(vm) ((voters & stopping & BIT(vm)) != 0 && count(voters) == 3 && count(running & ~voters & ~stopping & successors) > 0)
#else
#define mayPromote(vm) ((running & BIT(vm)) != 0 && (voters & BIT(vm)) == 0 && (stopping & BIT(vm)) == 0 && isReady(vm) && commits \
    && (count(voters) < 3 || (count(voters) == 3 && (voters & stopping) != 0)))
#define mayDemote(vm) ((voters & stopping & BIT(vm)) != 0 && count(voters) > 3)
#endif

#define PROMOTE(vm) \
    :: mayPromote(vm) -> atomic { voters = voters | BIT(vm); check() }

#define DEMOTE(vm) \
    :: mayDemote(vm) && commits -> atomic { voters = voters & ~BIT(vm); check() }

#define LOSE(vm) \
    :: lost == 7 && (running & BIT(vm)) != 0 -> \
        atomic { lost = vm; running = running & ~BIT(vm); holders = holders & ~BIT(vm); successors = successors & ~BIT(vm); check() }

active proctype Group()
{
end:
    do
    STOP(0)
    STOP(1)
    END(0)
    END(1)
    PROMOTE(3)
    PROMOTE(4)
    PROMOTE(5)
    DEMOTE(0)
    DEMOTE(1)
    LOSE(2)
    LOSE(3)
    LOSE(4)
    :: commits -> atomic { acknowledge(); check() }
    /* The VM whose disk was lost is back as a learner, and catches up. */
    :: lost != 7 && (running & BIT(5)) == 0 && commits -> running = running | BIT(5); successors = successors | BIT(5)
    :: commits -> holders = holders | (running & (BIT(2) | BIT(3) | BIT(5)))
    :: commits -> holders = holders | (running & BIT(4))
    /* Its former replica leaves the members once the new one has caught up. */
    :: lost != 7 && (voters & BIT(lost)) != 0 && (holders & BIT(5)) != 0 && count(voters) > 2 && commits ->
        atomic { voters = voters & ~BIT(lost); check() }
    od
}
