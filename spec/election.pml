/*
 * Election, log and membership of the control group.
 *
 * Three VMs elect a leader per election term and replicate a log. Votes, terms and logs are on disk. One append may be on its way for
 * any time while others overtake it. A VM loses its disk, comes back under a new identity as a learner and becomes a voter once it
 * has caught up.
 *
 * Bounds: 3 VMs, 3 election terms (4 without COMMIT_OWN_TERM, which needs them), logs of 2 entries, 2 lost disks, the second after the repair of the first.
 * Left out: pre-vote and check-quorum, which serve liveness; snapshots; leases, which rest on time; a restart that
 * keeps the disk, since a VM that is silent for a while does the same.
 *
 * Properties: an election term has one leader; a committed entry is in the log of every later leader.
 *
 * safeguards: DURABLE_VOTE LOG_CHECK QUORUM COMMIT_OWN_TERM TRUNCATE_ONLY_ON_CONFLICT NEW_IDENTITY COMMIT_CHANGE
 */

#define VMS 3
#ifndef LOST_DISKS
#define LOST_DISKS 2
#endif
#define LOG 2
#define NOBODY 9
#ifdef WITHOUT_COMMIT_OWN_TERM
#define TERMS 4
#else
#define TERMS 3
#endif
#define BIT(vm) (1 << (vm))
#define ENTRY(vm, at) ((vm) * LOG + (at))

/* On disk. */
byte electionTerm[VMS];
byte votedFor[VMS];
byte entryTerm[6];
byte length[VMS];

bool leads[VMS];
bool candidate[VMS];
byte votes[VMS];
byte stored[6];      /* stored[leader, follower]: entries that the follower is known to hold in the leader's term */
byte committed[VMS];
bool voter[VMS];
byte lostDisks = 0;

/* What was committed anywhere, by position. */
byte committedTerm[LOG];
byte committedBy[LOG]; /* election term of the leader that committed it first */

/* The append that is on its way. */
byte flightTo = NOBODY;
byte flightFrom;
byte flightTerm;
byte flightLength;
byte flightEntry[LOG];

hidden byte at;
hidden byte lastTerm;
hidden byte otherTerm;

#define STORED(leader, follower) stored[(leader) * 2 + ((follower) > (leader) -> (follower) - 1 : (follower))]

#ifdef WITHOUT_QUORUM
#define isQuorum(bits) ((bits) != 0)
#else
#define isQuorum(bits) ((bits) == 3 || (bits) == 5 || (bits) == 6 || (bits) == 7)
#endif

inline lookUpLastTerm(vm, result)
{
    if
    :: length[vm] == 0 -> result = 0
    :: else -> result = entryTerm[ENTRY(vm, length[vm] - 1)]
    fi
}

inline forgetLeadership(vm)
{
    leads[vm] = false;
    candidate[vm] = false;
    votes[vm] = 0
}

inline standForElection(vm)
{
    d_step {
        forgetLeadership(vm);
        electionTerm[vm]++;
        votedFor[vm] = vm;
        candidate[vm] = true;
        votes[vm] = BIT(vm)
    }
}

inline vote(vm, other)
{
    d_step {
        lookUpLastTerm(vm, lastTerm);
        lookUpLastTerm(other, otherTerm);
        if
        :: electionTerm[other] > electionTerm[vm] ->
            electionTerm[vm] = electionTerm[other];
            votedFor[vm] = NOBODY;
            forgetLeadership(vm)
        :: else -> skip
        fi;
        if
        :: votedFor[vm] != NOBODY && votedFor[vm] != other -> skip
#ifndef WITHOUT_LOG_CHECK
        :: votedFor[vm] == NOBODY && (otherTerm < lastTerm || (otherTerm == lastTerm && length[other] < length[vm])) -> skip
#endif
        :: else -> votedFor[vm] = other; votes[other] = votes[other] | BIT(vm)
        fi
    }
}

#define canVote(vm, other) (voter[vm] && candidate[other] && electionTerm[vm] <= electionTerm[other] && (votes[other] & BIT(vm)) == 0)

/* Every entry that a leader of an earlier election term committed must be in the new leader's log. */
inline mustHold(vm, position)
{
    if
    :: committedTerm[position] != 0 && committedBy[position] < electionTerm[vm] ->
        assert(length[vm] > position && entryTerm[ENTRY(vm, position)] == committedTerm[position])
    :: else -> skip
    fi
}

inline lead(vm)
{
    d_step {
        assert(!(leads[0] && electionTerm[0] == electionTerm[vm]));
        assert(!(leads[1] && electionTerm[1] == electionTerm[vm]));
        assert(!(leads[2] && electionTerm[2] == electionTerm[vm]));
        candidate[vm] = false;
        leads[vm] = true;
        mustHold(vm, 0);
        mustHold(vm, 1);
        stored[vm * 2] = 0;
        stored[vm * 2 + 1] = 0
    }
}

inline propose(vm)
{
    d_step {
        entryTerm[ENTRY(vm, length[vm])] = electionTerm[vm];
        length[vm]++
    }
}

inline sendAppend(leader, follower)
{
    d_step {
        flightTo = follower;
        flightFrom = leader;
        flightTerm = electionTerm[leader];
        flightLength = length[leader];
        flightEntry[0] = entryTerm[ENTRY(leader, 0)];
        flightEntry[1] = entryTerm[ENTRY(leader, 1)]
    }
}

/* Takes the whole log that the append carries; an older append that is shorter cuts nothing that it does not contradict. */
inline takeAppend(vm)
{
    d_step {
        if
        :: flightTerm < electionTerm[vm] -> skip
        :: else ->
            if
            :: flightTerm > electionTerm[vm] -> electionTerm[vm] = flightTerm; votedFor[vm] = NOBODY
            :: else -> skip
            fi;
            forgetLeadership(vm);
            at = 0;
            do
            :: at >= flightLength -> break
            :: at < flightLength && at < length[vm] && entryTerm[ENTRY(vm, at)] == flightEntry[at] -> at++
            :: else -> length[vm] = flightLength; break
            od;
#ifdef WITHOUT_TRUNCATE_ONLY_ON_CONFLICT
            length[vm] = flightLength;
#endif
            at = 0;
            do
            :: at >= flightLength -> break
            :: else -> entryTerm[ENTRY(vm, at)] = flightEntry[at]; at++
            od;
            if
            :: leads[flightFrom] && electionTerm[flightFrom] == flightTerm && STORED(flightFrom, vm) < flightLength ->
                STORED(flightFrom, vm) = flightLength
            :: else -> skip
            fi
        fi;
        flightTo = NOBODY;
        flightFrom = 0;
        flightTerm = 0;
        flightLength = 0;
        flightEntry[0] = 0;
        flightEntry[1] = 0
    }
}

/* An append that overtakes the one on its way. */
inline appendNow(leader, vm)
{
    d_step {
        if
        :: electionTerm[leader] > electionTerm[vm] -> electionTerm[vm] = electionTerm[leader]; votedFor[vm] = NOBODY
        :: else -> skip
        fi;
        forgetLeadership(vm);
        at = 0;
        do
        :: at >= length[leader] -> break
        :: at < length[leader] && at < length[vm] && entryTerm[ENTRY(vm, at)] == entryTerm[ENTRY(leader, at)] -> at++
        :: else -> length[vm] = length[leader]; break
        od;
        at = 0;
        do
        :: at >= length[leader] -> break
        :: else -> entryTerm[ENTRY(vm, at)] = entryTerm[ENTRY(leader, at)]; at++
        od;
        STORED(leader, vm) = length[leader]
    }
}

#define canAppendNow(leader, vm) (leads[leader] && flightTo == vm && flightFrom == leader && electionTerm[leader] >= electionTerm[vm] \
    && length[leader] > flightLength)

#define holderBits(leader, position) (BIT(leader) | holderBit(leader, 0, position) | holderBit(leader, 1, position) | holderBit(leader, 2, position))
#define holderBit(leader, vm, position) ((vm) != (leader) && voter[vm] && STORED(leader, vm) > (position) -> BIT(vm) : 0)

/* Commits the first entry alone, or both once the second is of the leader's term. */
#define canCommit(vm, position) (leads[vm] && voter[vm] && length[vm] > (position) && committed[vm] <= (position) \
    && isQuorum(holderBits(vm, position)) && ownTermAt(vm, position))
#ifdef WITHOUT_COMMIT_OWN_TERM
#define ownTermAt(vm, position) (true)
#else
#define ownTermAt(vm, position) (entryTerm[ENTRY(vm, position)] == electionTerm[vm])
#endif

inline commit(vm, position)
{
    d_step {
        committed[vm] = position + 1;
        at = 0;
        do
        :: at > position -> break
        :: else ->
            assert(committedTerm[at] == 0 || committedTerm[at] == entryTerm[ENTRY(vm, at)]);
            if
            :: committedTerm[at] == 0 -> committedBy[at] = electionTerm[vm]
            :: else -> skip
            fi;
            committedTerm[at] = entryTerm[ENTRY(vm, at)];
            at++
        od;
        skip
    }
}

inline restart(vm)
{
    d_step {
        forgetLeadership(vm);
        committed[vm] = 0;
#ifdef WITHOUT_DURABLE_VOTE
        votedFor[vm] = NOBODY;
#endif
        skip
    }
}

/* The VM comes back empty. What other VMs count of its former identity stays counted. */
inline loseDisk(vm)
{
    d_step {
        lostDisks++;
        forgetLeadership(vm);
        committed[vm] = 0;
        length[vm] = 0;
        electionTerm[vm] = 0;
        votedFor[vm] = NOBODY;
        entryTerm[ENTRY(vm, 0)] = 0;
        entryTerm[ENTRY(vm, 1)] = 0;
#ifndef WITHOUT_NEW_IDENTITY
        voter[vm] = false;
#endif
        STORED((vm + 1) % 3, vm) = 0;
        STORED((vm + 2) % 3, vm) = 0;
        if
        :: flightTo == vm -> flightTo = NOBODY; flightFrom = 0; flightTerm = 0; flightLength = 0; flightEntry[0] = 0; flightEntry[1] = 0
        :: else -> skip
        fi
    }
}

/*
 * A leader takes a learner in once it holds the leader's whole log, and by a change that the remaining voters commit: the former
 * identity may have voted for a later leader, and only the remaining voter knows of it.
 */
#ifdef WITHOUT_COMMIT_CHANGE
#define changeCommitted(leader, remaining) (true)
#else
#define changeCommitted(leader, remaining) (electionTerm[remaining] == electionTerm[leader] && STORED(leader, remaining) == length[leader])
#endif

#define caughtUp(leader, vm) (STORED(leader, vm) == length[leader] && electionTerm[vm] == electionTerm[leader])

#define canBecomeVoter(leader, vm, remaining) (!voter[vm] && leads[leader] && voter[leader] && length[leader] > 0 \
    && committed[leader] == length[leader] && entryTerm[ENTRY(leader, length[leader] - 1)] == electionTerm[leader] \
    && caughtUp(leader, vm) && changeCommitted(leader, remaining))

#ifdef WITHOUT_DURABLE_VOTE
#define MAY_FORGET (true)
#else
#define MAY_FORGET (false)
#endif

#define allVoters (voter[0] && voter[1] && voter[2])

/* The VMs are alike at first, so the first election may as well be that of the first VM. */
#define mayBegin(vm) ((vm) == 0 || electionTerm[0] != 0 || electionTerm[1] != 0 || electionTerm[2] != 0 || lostDisks != 0)

#define VM_STEPS(vm, second, third) \
    :: voter[vm] && !leads[vm] && electionTerm[vm] < TERMS && mayBegin(vm) -> standForElection(vm) \
    :: canVote(vm, second) -> vote(vm, second) \
    :: canVote(vm, third) -> vote(vm, third) \
    :: candidate[vm] && isQuorum(votes[vm]) -> lead(vm) \
    :: leads[vm] && length[vm] < LOG -> propose(vm) \
    :: leads[vm] && flightTo == NOBODY && length[vm] > 0 -> sendAppend(vm, second) \
    :: leads[vm] && flightTo == NOBODY && length[vm] > 0 -> sendAppend(vm, third) \
    :: flightTo == vm -> takeAppend(vm) \
    :: canAppendNow(second, vm) -> appendNow(second, vm) \
    :: canAppendNow(third, vm) -> appendNow(third, vm) \
    :: canCommit(vm, 0) -> commit(vm, 0) \
    :: canCommit(vm, 1) -> commit(vm, 1) \
    :: MAY_FORGET && votedFor[vm] != NOBODY -> restart(vm) \
    :: lostDisks < LOST_DISKS && allVoters -> loseDisk(vm) \
    :: canBecomeVoter(second, vm, third) -> voter[vm] = true \
    :: canBecomeVoter(third, vm, second) -> voter[vm] = true

active proctype Group()
{
    d_step {
        votedFor[0] = NOBODY; votedFor[1] = NOBODY; votedFor[2] = NOBODY;
        voter[0] = true; voter[1] = true; voter[2] = true
    }
end:
    do
    VM_STEPS(0, 1, 2)
    VM_STEPS(1, 0, 2)
    VM_STEPS(2, 0, 1)
    od
}
