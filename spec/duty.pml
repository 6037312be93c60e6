/*
 * The duty to order promotions: a lease on that right, granted in the replicated state.
 *
 * Consensus gives one leader at a time, each leadership with a higher number (spec/lease.pml). The leader moves at any moment, also while all VMs
 * live, and back. A leader proposes a grant {holder, leadership} with the number it expects; the state takes it where that number is the next one
 * and the leadership is not lower than that of the newest grant. Each VM learns of a committed grant later, and may skip those in between. The
 * holder counts TERM ticks from its first proposal of that number, all others wait WAITS ticks from when they saw the grant.
 *
 * A leader proposes where it knows of no grant, holds the newest one, saw it WAITS ticks ago, or takes the holder for lost. The latter is left to
 * chance: a living holder may seem lost. It is not open to a VM that saw the duty pass from one holder to another within the last WAITS ticks. A
 * restarted VM knows neither times nor proposals of its former process.
 *
 * Time is a clock of ticks at which all VMs count. An age is not counted further than the longest time that it is compared with.
 *
 * Bounds: 3 VMs, 3 leaderships, 3 grants, 1 crash, TERM of 2 ticks, WAITS of 4.
 * Left out: clocks that drift; a second proposal of the same VM on its way under another leadership, which replaces the first one here but keeps
 * its time; proposals that the state would refuse when they are made.
 *
 * Properties:
 * - While no living holder was taken for lost, no two VMs hold the duty at once, even where a former leader does not know that it was replaced.
 *   Once one was, only consensus keeps them apart: who orders leads.
 * - While no living holder was taken for lost, TERM ticks pass between the last order of one holder and the first one of the next, unless that one
 *   took the former for lost.
 * - The duty passes on early, from a living holder, at most once in WAITS ticks.
 * - A holder that knew of its grant and was replaced orders nothing for WAITS ticks from the other VM's grant, unless it restarts meanwhile.
 * - Where the holder is dead, a leader that knows the newest grant and saw no passing within WAITS ticks may propose at once.
 *
 * safeguards: PROPOSAL_TIME GRANT_NUMBER WAIT HANDOVER_WAIT PASSED_ON_PAUSE PAUSE_OF_ALL SKIPPED_GRANTS LEADERSHIP FIRST_PROPOSAL OWN_PROCESS DEAD_HOLDER
 */

#define VMS 3
#define TERM 2
#define WAITS 4
#define LEADERSHIPS 3
#define GRANTS 3
#define CRASHES 1
#define NOBODY 3

/* The log: grants by number, and the proposals on their way. */
byte newest = 0;
byte holder[GRANTS + 1];
byte grantLeadership[GRANTS + 1];
bool onItsWay[VMS];
byte proposedNumber[VMS];
byte proposedLeadership[VMS];

byte leader = 0;
byte leadership = 1;
/* Two VMs are alike until one leads: VM 1 is the one that does first. */
bool hasLed = false;
byte crashes = 0;

/* What a VM knows. */
bool dead[VMS];
byte known[VMS];
/* The proposal is of this process, which has not learned of its fate. */
bool own[VMS];
byte sinceProposal[VMS];
/* The same of the newest grant that the VM knows, if it is the holder by a proposal of this process. */
byte sinceHeld[VMS];
byte sinceSeen[VMS];
/* The VM saw the duty pass from one holder to another. */
byte sincePassedOn[VMS];

/* For the properties: a living holder was taken for lost; the holder was taken for lost by the proposal; since when the duty last passed on so; since when another VM holds what the VM held; since its last order. */
bool misjudged = false;
bool isEarly[VMS];
byte sinceEarly = WAITS;
byte sinceTaken[VMS];
byte sinceOrder[VMS];

#define knownHolder(vm) holder[known[vm]]

#define hasGrant(vm) (sinceHeld[vm] < TERM)

#ifdef WITHOUT_LEADERSHIP
#define isOfLeadership(vm) (true)
#else
#define isOfLeadership(vm) (grantLeadership[known[vm]] == leadership)
#endif

#define mayOrder(vm) (leader == vm && hasGrant(vm) && isOfLeadership(vm))

/* Also where it was committed and not learned yet. */
#define hasPending(vm) (own[vm] && proposedNumber[vm] == known[vm] + 1 && proposedLeadership[vm] == leadership)

#ifdef WITHOUT_HANDOVER_WAIT
#define HANDOVER TERM
#else
#define HANDOVER WAITS
#endif

#define isDue(vm) (known[vm] == 0 || knownHolder(vm) == vm || sinceSeen[vm] >= HANDOVER)

#ifdef WITHOUT_PASSED_ON_PAUSE
#define mayTakeForLost(vm) (true)
#else
#ifdef WITHOUT_DEAD_HOLDER
#define mayTakeForLost(vm) (false)
#else
#define mayTakeForLost(vm) (sincePassedOn[vm] >= WAITS)
#endif
#endif

#ifdef WITHOUT_WAIT
#define isPermitted(vm) (true)
#else
#define isPermitted(vm) isDue(vm)
#endif

/* What would be refused is not proposed. */
#define mayPropose(vm) (leader == vm && !hasPending(vm) && mayBeNext(vm))

#ifdef WITHOUT_GRANT_NUMBER
#define mayBeNext(vm) (newest < GRANTS)
#define isNext(vm) (newest < GRANTS)
#else
#define mayBeNext(vm) (known[vm] == newest && newest < GRANTS)
#define isNext(vm) (proposedNumber[vm] == newest + 1)
#endif

#define isAccepted(vm) (isNext(vm) && proposedLeadership[vm] >= grantLeadership[newest])

inline propose(vm)
{
    if
#ifndef WITHOUT_FIRST_PROPOSAL
    :: own[vm] && proposedNumber[vm] == known[vm] + 1 -> skip
#endif
    :: else -> sinceProposal[vm] = 0
    fi;
    own[vm] = true;
    onItsWay[vm] = true;
    isEarly[vm] = false;
    proposedNumber[vm] = known[vm] + 1;
    proposedLeadership[vm] = leadership
}

/* Takes the holder for lost. */
inline proposeEarly(vm)
{
    propose(vm);
    isEarly[vm] = true;
    if
    :: dead[knownHolder(vm)] -> skip
    :: else ->
        assert(sinceEarly >= WAITS);
        misjudged = true;
        sinceOrder[0] = TERM; sinceOrder[1] = TERM; sinceOrder[2] = TERM
    fi
}

inline forgetProposal(vm)
{
    own[vm] = false;
    if
    :: onItsWay[vm] -> skip
    :: else -> proposedNumber[vm] = 0; proposedLeadership[vm] = 0
    fi;
    sinceProposal[vm] = TERM
}

inline refuse(vm)
{
    if
    :: onItsWay[vm] && !isAccepted(vm) -> onItsWay[vm] = false; isEarly[vm] = false; forgetProposal(vm)
    :: else -> skip
    fi
}

/* Fewer states: nobody proposes after the last grant. */
inline settle(vm)
{
    sinceSeen[vm] = WAITS;
    sincePassedOn[vm] = WAITS
}

inline commit(vm)
{
    d_step {
        if
        :: newest > 0 && holder[newest] != vm && known[holder[newest]] == newest -> sinceTaken[holder[newest]] = 0
        :: else -> skip
        fi;
        if
        :: isEarly[vm] -> sinceEarly = 0; sinceOrder[holder[newest]] = TERM
        :: else -> skip
        fi;
        isEarly[vm] = false;
        newest++;
        holder[newest] = vm;
        grantLeadership[newest] = proposedLeadership[vm];
        onItsWay[vm] = false;
#ifdef WITHOUT_GRANT_NUMBER
        proposedNumber[vm] = newest;
#endif
        if
        :: own[vm] -> skip
        :: else -> forgetProposal(vm)
        fi;
        refuse(0);
        refuse(1);
        refuse(2);
        if
        :: newest == GRANTS -> settle(0); settle(1); settle(2); sinceEarly = WAITS
        :: else -> skip
        fi
    }
}

/* Entry by entry, or several at once. */
inline learn(vm, number)
{
    d_step {
        if
#ifdef WITHOUT_PAUSE_OF_ALL
        :: known[vm] > 0 && knownHolder(vm) == vm && holder[number] != vm -> sincePassedOn[vm] = 0
#else
        :: known[vm] > 0 && knownHolder(vm) != holder[number] -> sincePassedOn[vm] = 0
#endif
        :: else -> skip
        fi;
#ifndef WITHOUT_SKIPPED_GRANTS
        /* By those in between, or before the restart, the duty may have passed on. */
        if
        :: number > known[vm] + 1 -> sincePassedOn[vm] = 0
        :: else -> skip
        fi;
#endif
        known[vm] = number;
        sinceSeen[vm] = (knownHolder(vm) == vm -> WAITS : 0);
        sinceHeld[vm] = TERM;
        if
        :: own[vm] && knownHolder(vm) == vm && proposedNumber[vm] == known[vm] && proposedLeadership[vm] == grantLeadership[known[vm]] ->
#ifdef WITHOUT_PROPOSAL_TIME
            sinceHeld[vm] = 0;
#else
            sinceHeld[vm] = sinceProposal[vm];
#endif
#ifdef WITHOUT_OWN_PROCESS
        :: !own[vm] && knownHolder(vm) == vm -> sinceHeld[vm] = 0
#endif
        :: else -> skip
        fi;
        if
        :: own[vm] && !onItsWay[vm] && proposedNumber[vm] <= known[vm] -> forgetProposal(vm)
        :: else -> skip
        fi;
        if
        :: newest == GRANTS -> settle(vm)
        :: else -> skip
        fi;
        assert(misjudged || hasGrant(0) + hasGrant(1) + hasGrant(2) <= 1)
    }
}

inline order(vm)
{
    d_step {
        assert(sinceTaken[vm] >= WAITS);
        sinceOrder[vm] = TERM;
        assert(sinceOrder[0] >= TERM && sinceOrder[1] >= TERM && sinceOrder[2] >= TERM);
        sinceOrder[vm] = (misjudged -> TERM : 0)
    }
}

inline lead(vm)
{
    d_step {
        leader = vm;
        leadership++;
        hasLed = hasLed || vm == 1
    }
}

inline forget(vm)
{
    forgetProposal(vm);
    known[vm] = 0;
    sinceHeld[vm] = TERM;
    sinceSeen[vm] = WAITS;
    sincePassedOn[vm] = WAITS;
    sinceTaken[vm] = WAITS
}

inline crash(vm)
{
    d_step {
        crashes++;
        dead[vm] = true;
        leader = (leader == vm -> NOBODY : leader);
        forget(vm)
    }
}

#define count(age, most) age = (age < most -> age + 1 : most)

/* The holder is dead, and the leader is one that need not pause. */
#define isLeft(vm) (leader == vm && known[vm] > 0 && known[vm] == newest && dead[knownHolder(vm)] && sincePassedOn[vm] >= WAITS)

inline tickOf(vm)
{
    assert(!isLeft(vm) || isPermitted(vm) || mayTakeForLost(vm));
    count(sinceProposal[vm], TERM);
    count(sinceHeld[vm], TERM);
    count(sinceOrder[vm], TERM);
    count(sinceSeen[vm], WAITS);
    count(sincePassedOn[vm], WAITS);
    count(sinceTaken[vm], WAITS)
}

#ifdef WITHOUT_FIRST_PROPOSAL
#define RETRY(vm) :: leader == vm && hasPending(vm) -> sinceProposal[vm] = 0
#else
#define RETRY(vm)
#endif

#define VM_STEPS(vm) \
    :: leadership < LEADERSHIPS && !dead[vm] && leader != vm && (vm != 2 || hasLed) -> lead(vm) \
    :: mayPropose(vm) && isPermitted(vm) -> d_step { propose(vm) } \
    :: mayPropose(vm) && !isPermitted(vm) && mayTakeForLost(vm) -> d_step { proposeEarly(vm) } \
    RETRY(vm) \
    :: onItsWay[vm] && isAccepted(vm) -> commit(vm) \
    :: !dead[vm] && known[vm] < newest -> learn(vm, known[vm] + 1) \
    :: !dead[vm] && known[vm] + 1 < newest -> learn(vm, newest) \
    :: mayOrder(vm) -> order(vm) \
    :: crashes < CRASHES && !dead[vm] -> crash(vm) \
    :: dead[vm] -> dead[vm] = false

active proctype Group()
{
    d_step {
        holder[0] = NOBODY;
        sinceProposal[0] = TERM; sinceProposal[1] = TERM; sinceProposal[2] = TERM;
        sinceHeld[0] = TERM; sinceHeld[1] = TERM; sinceHeld[2] = TERM;
        sinceSeen[0] = WAITS; sinceSeen[1] = WAITS; sinceSeen[2] = WAITS;
        sincePassedOn[0] = WAITS; sincePassedOn[1] = WAITS; sincePassedOn[2] = WAITS;
        sinceTaken[0] = WAITS; sinceTaken[1] = WAITS; sinceTaken[2] = WAITS;
        sinceOrder[0] = TERM; sinceOrder[1] = TERM; sinceOrder[2] = TERM
    }
end:
    do
    VM_STEPS(0)
    VM_STEPS(1)
    VM_STEPS(2)
    :: d_step { tickOf(0); tickOf(1); tickOf(2); count(sinceEarly, WAITS) }
    od
}
