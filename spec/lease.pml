/*
 * Leases of the leader of the control group, and the votes that voters keep while one may live.
 *
 * A voter that answers a heartbeat upholds the leader's lease for a while, and keeps its vote for a little longer: whatever part of a lease
 * rests on its answer has run out when the vote is free. A restarted voter no longer knows when it last answered and keeps its vote
 * for as long, unless it was the leader itself. The leader of the voter's own term gets the vote at once: it asks, so it no longer leads.
 * The leader of a term is written to the disk before the first of its heartbeats is answered.
 *
 * A leader whose disk is full resigns: its lease ends, and only then it tells the voters, which release the vote that they keep for it. Its message may be
 * late; it counts only for a voter in the term of the message.
 *
 * Time is left to chance: an answer stops to count at any moment, and a vote is free at any moment after that.
 *
 * Bounds: 3 VMs, 3 election terms, 2 restarts of each VM, or 1 and a resignation.
 * Left out: pre-vote, which only refuses more; the log, which spec/election.pml has.
 *
 * Property: while a leader holds a lease, no leader of a later term is elected and none holds another lease.
 *
 * safeguards: PAUSE FORMER_LEADER_ONLY SYNC_BEFORE_REPLY RESIGN_FIRST RESIGN_TERM
 */

#define VMS 3
#define TERMS 3
#define RESTARTS 2
#define NOBODY 9
#define UNKNOWN 8
#define BIT(vm) (1 << (vm))
#define isQuorum(bits) ((bits) == 3 || (bits) == 5 || (bits) == 6 || (bits) == 7)

/* What a VM goes by, and what its disk holds of that. */
byte electionTerm[VMS];
byte votedFor[VMS];
byte leaderOf[VMS];
byte termOnDisk[VMS];
byte voteOnDisk[VMS];
byte leaderOnDisk[VMS];

bool leads[VMS];
bool candidate[VMS];
byte votes[VMS];
/* Answers that count towards the lease. */
byte upheldBy[VMS];
/* Whose lease the VM may uphold: it keeps its vote. */
byte keeps[VMS];
byte restarts[VMS];
/* The leader that resigned and its term. */
byte resigned = NOBODY;
byte resignedTerm = 0;

#define holdsLease(vm) (leads[vm] && isQuorum(upheldBy[vm] | BIT(vm)))
/* A candidate that counts old votes late may win its term beside a leader of a later one; nobody will uphold a lease of it. */
#define holdsLeaseBefore(other, vm) (holdsLease(other) && electionTerm[other] < electionTerm[vm])
#define oneLease() (!(holdsLease(0) && holdsLease(1)) && !(holdsLease(0) && holdsLease(2)) && !(holdsLease(1) && holdsLease(2)))

inline sync(vm)
{
    termOnDisk[vm] = electionTerm[vm];
    voteOnDisk[vm] = votedFor[vm];
    leaderOnDisk[vm] = leaderOf[vm]
}

#define isSynced(vm) (termOnDisk[vm] == electionTerm[vm] && leaderOnDisk[vm] == leaderOf[vm])

inline stepDown(vm)
{
    leads[vm] = false;
    candidate[vm] = false;
    votes[vm] = 0;
    upheldBy[vm] = 0
}

#define mayStand(vm) (!leads[vm] && electionTerm[vm] < TERMS && keeps[vm] == NOBODY)

inline stand(vm)
{
    d_step {
        stepDown(vm);
        electionTerm[vm]++;
        votedFor[vm] = vm;
        leaderOf[vm] = NOBODY;
        candidate[vm] = true;
        votes[vm] = BIT(vm);
        sync(vm)
    }
}

#ifdef WITHOUT_FORMER_LEADER_ONLY
#define asksAsFormerLeader(vm, other) (leaderOf[vm] != NOBODY && electionTerm[other] > electionTerm[vm] && !leads[vm])
#else
#define asksAsFormerLeader(vm, other) (leaderOf[vm] == other && electionTerm[other] > electionTerm[vm] && !leads[vm])
#endif

#define isFree(vm, other) (!leads[vm] && (keeps[vm] == NOBODY || asksAsFormerLeader(vm, other)))

#define mayVote(vm, other) (candidate[other] && (votes[other] & BIT(vm)) == 0 && isFree(vm, other) \
    && (electionTerm[other] > electionTerm[vm] || (electionTerm[other] == electionTerm[vm] && votedFor[vm] == NOBODY)))

inline vote(vm, other)
{
    d_step {
        stepDown(vm);
        if
        :: electionTerm[other] > electionTerm[vm] -> leaderOf[vm] = NOBODY
        :: else -> skip
        fi;
        electionTerm[vm] = electionTerm[other];
        votedFor[vm] = other;
        votes[other] = votes[other] | BIT(vm);
        sync(vm)
    }
}

inline lead(vm)
{
    d_step {
        assert(!holdsLeaseBefore(0, vm) && !holdsLeaseBefore(1, vm) && !holdsLeaseBefore(2, vm));
        candidate[vm] = false;
        leads[vm] = true;
        leaderOf[vm] = vm;
        keeps[vm] = NOBODY;
        sync(vm)
    }
}

/* The VM hears a leader of its own or of a later term. */
#define mayHear(vm, other) (leads[other] && electionTerm[other] >= electionTerm[vm] && (keeps[vm] != other || leaderOf[vm] != other))

inline hear(vm, other)
{
    d_step {
        stepDown(vm);
        if
        :: electionTerm[other] > electionTerm[vm] -> votedFor[vm] = NOBODY
        :: else -> skip
        fi;
        electionTerm[vm] = electionTerm[other];
        leaderOf[vm] = other;
        keeps[vm] = other
    }
}

#ifdef WITHOUT_SYNC_BEFORE_REPLY
#define mayAnswer(vm) (true)
#else
#define mayAnswer(vm) (isSynced(vm))
#endif

#define mayUphold(vm, other) (leads[other] && keeps[vm] == other && leaderOf[vm] == other && electionTerm[vm] == electionTerm[other] \
    && (upheldBy[other] & BIT(vm)) == 0 && mayAnswer(vm))

inline uphold(vm, other)
{
    d_step {
        upheldBy[other] = upheldBy[other] | BIT(vm);
        assert(oneLease())
    }
}

#define mayResign(vm) (leads[vm] && resigned == NOBODY && restarts[0] < 2 && restarts[1] < 2 && restarts[2] < 2)

inline resign(vm)
{
    d_step {
        resigned = vm;
        resignedTerm = electionTerm[vm];
#ifndef WITHOUT_RESIGN_FIRST
        stepDown(vm)
#endif
    }
}

#ifdef WITHOUT_RESIGN_TERM
#define isOfTerm(vm) (true)
#else
#define isOfTerm(vm) (electionTerm[vm] == resignedTerm && leaderOf[vm] == resigned)
#endif

#define mayRelease(vm) (resigned != NOBODY && resigned != vm && keeps[vm] != NOBODY && isOfTerm(vm))

#define countsAnywhere(vm) (((upheldBy[0] | upheldBy[1] | upheldBy[2]) & BIT(vm)) != 0)

#ifdef WITHOUT_PAUSE
#define afterRestart(vm) NOBODY
#else
#define afterRestart(vm) (leaderOnDisk[vm] == vm -> NOBODY : UNKNOWN)
#endif

inline restart(vm)
{
    d_step {
        restarts[vm]++;
        stepDown(vm);
        electionTerm[vm] = termOnDisk[vm];
        votedFor[vm] = voteOnDisk[vm];
        leaderOf[vm] = leaderOnDisk[vm];
        keeps[vm] = afterRestart(vm)
    }
}

#define VM_STEPS(vm, second, third) \
    :: mayStand(vm) -> stand(vm) \
    :: mayVote(vm, second) -> vote(vm, second) \
    :: mayVote(vm, third) -> vote(vm, third) \
    :: candidate[vm] && isQuorum(votes[vm]) -> lead(vm) \
    :: mayHear(vm, second) -> hear(vm, second) \
    :: mayHear(vm, third) -> hear(vm, third) \
    :: !isSynced(vm) -> d_step { sync(vm) } \
    :: mayUphold(vm, second) -> uphold(vm, second) \
    :: mayUphold(vm, third) -> uphold(vm, third) \
    :: (upheldBy[vm] & BIT(second)) != 0 -> upheldBy[vm] = upheldBy[vm] & ~BIT(second) \
    :: (upheldBy[vm] & BIT(third)) != 0 -> upheldBy[vm] = upheldBy[vm] & ~BIT(third) \
    :: keeps[vm] != NOBODY && !countsAnywhere(vm) -> keeps[vm] = NOBODY \
    :: leads[vm] -> d_step { stepDown(vm) } \
    :: mayResign(vm) -> resign(vm) \
    :: mayRelease(vm) -> keeps[vm] = NOBODY \
    :: restarts[vm] < (resigned == NOBODY -> RESTARTS : 1) -> restart(vm)

active proctype Group()
{
    d_step {
        votedFor[0] = NOBODY; votedFor[1] = NOBODY; votedFor[2] = NOBODY;
        leaderOf[0] = NOBODY; leaderOf[1] = NOBODY; leaderOf[2] = NOBODY;
        voteOnDisk[0] = NOBODY; voteOnDisk[1] = NOBODY; voteOnDisk[2] = NOBODY;
        leaderOnDisk[0] = NOBODY; leaderOnDisk[1] = NOBODY; leaderOnDisk[2] = NOBODY;
        keeps[0] = NOBODY; keeps[1] = NOBODY; keeps[2] = NOBODY
    }
end:
    do
    VM_STEPS(0, 1, 2)
    VM_STEPS(1, 0, 2)
    VM_STEPS(2, 0, 1)
    od
}
