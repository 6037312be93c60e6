/*
 * The duty to order promotions: a lease on that right, granted in the replicated state.
 *
 * Consensus gives one leader at a time, each leadership with a higher number (spec/lease.pml). The leader moves at any moment, also while all VMs
 * live, and back. A leader proposes a grant {holder, leadership} with the number it expects; the state takes it where that number is the next one
 * and the leadership is not lower than that of the newest grant. Each VM learns of a committed grant later. The holder counts the term of the
 * grant from its first proposal under that number and leadership, all others from when they saw it.
 *
 * A leader proposes where it knows of no grant, holds the newest one, saw it a term ago, or takes the holder for lost. The latter is left to chance:
 * a living holder may seem lost. It is not open to a VM that was itself replaced as the holder within the last term. A restarted VM knows neither
 * times nor proposals of its former process.
 *
 * Time is a clock of ticks at which all VMs count; a term is TERM of them. What is older counts as TERM.
 *
 * Bounds: 3 VMs, 3 leaderships, 3 grants, 1 crash, terms of 3 ticks.
 * Left out: clocks that drift; a second proposal of the same VM on its way under another number or leadership, which replaces the first one here.
 *
 * Properties:
 * - While no living holder was taken for lost, no two VMs hold the duty at once, even where a former leader does not know that it was replaced.
 *   Once one was, only consensus keeps them apart: who orders leads.
 * - A holder that another VM replaced orders nothing for a term, even where the other one seems lost to it, unless it restarts meanwhile.
 * - Where the holder is dead, a leader that knows the newest grant and was not just replaced may propose at once.
 *
 * safeguards: PROPOSAL_TIME GRANT_NUMBER WAIT REPLACED_PAUSE LEADERSHIP FIRST_PROPOSAL OWN_PROCESS DEAD_HOLDER
 */

#define VMS 3
#define TERM 3
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
byte sinceReplaced[VMS];

/* For the properties: a living holder was taken for lost; since when another VM holds what the VM held. */
bool misjudged = false;
byte sinceTaken[VMS];

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

#define isDue(vm) (known[vm] == 0 || knownHolder(vm) == vm || sinceSeen[vm] >= TERM)

#ifdef WITHOUT_REPLACED_PAUSE
#define mayTakeForLost(vm) (true)
#else
#ifdef WITHOUT_DEAD_HOLDER
#define mayTakeForLost(vm) (false)
#else
#define mayTakeForLost(vm) (sinceReplaced[vm] >= TERM)
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
    own[vm] = true;
    onItsWay[vm] = true;
    proposedNumber[vm] = known[vm] + 1;
    proposedLeadership[vm] = leadership;
    sinceProposal[vm] = 0
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
    :: onItsWay[vm] && !isAccepted(vm) -> onItsWay[vm] = false; forgetProposal(vm)
    :: else -> skip
    fi
}

inline commit(vm)
{
    d_step {
        if
        :: newest > 0 && holder[newest] != vm && known[holder[newest]] == newest -> sinceTaken[holder[newest]] = 0
        :: else -> skip
        fi;
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
        refuse(2)
    }
}

/* Entry by entry, or by a snapshot. */
inline learn(vm, number)
{
    d_step {
        if
        :: known[vm] > 0 && knownHolder(vm) == vm && holder[number] != vm -> sinceReplaced[vm] = 0
        :: else -> skip
        fi;
        known[vm] = number;
        sinceSeen[vm] = (knownHolder(vm) == vm -> TERM : 0);
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
        assert(misjudged || hasGrant(0) + hasGrant(1) + hasGrant(2) <= 1)
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
    sinceSeen[vm] = TERM;
    sinceReplaced[vm] = TERM;
    sinceTaken[vm] = TERM
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

#define count(age) age = (age < TERM -> age + 1 : TERM)

/* The holder is dead, and the leader is one that need not pause. */
#define isLeft(vm) (leader == vm && known[vm] > 0 && known[vm] == newest && dead[knownHolder(vm)] && sinceReplaced[vm] >= TERM)

inline tickOf(vm)
{
    assert(!isLeft(vm) || isPermitted(vm) || mayTakeForLost(vm));
    count(sinceProposal[vm]);
    count(sinceSeen[vm]);
    count(sinceReplaced[vm]);
    count(sinceHeld[vm]);
    count(sinceTaken[vm])
}

#ifdef WITHOUT_FIRST_PROPOSAL
#define RETRY(vm) :: leader == vm && hasPending(vm) -> sinceProposal[vm] = 0
#else
#define RETRY(vm)
#endif

#define VM_STEPS(vm) \
    :: leadership < LEADERSHIPS && !dead[vm] && leader != vm && (vm != 2 || hasLed) -> lead(vm) \
    :: mayPropose(vm) && isPermitted(vm) -> d_step { propose(vm) } \
    :: mayPropose(vm) && !isPermitted(vm) && mayTakeForLost(vm) -> d_step { misjudged = misjudged || !dead[knownHolder(vm)]; propose(vm) } \
    RETRY(vm) \
    :: onItsWay[vm] && isAccepted(vm) -> commit(vm) \
    :: !dead[vm] && known[vm] < newest -> learn(vm, known[vm] + 1) \
    :: !dead[vm] && known[vm] == 0 && newest > 1 -> learn(vm, newest) \
    :: mayOrder(vm) -> assert(sinceTaken[vm] >= TERM) \
    :: crashes < CRASHES && !dead[vm] -> crash(vm) \
    :: dead[vm] -> dead[vm] = false

active proctype Group()
{
    d_step {
        holder[0] = NOBODY;
        sinceProposal[0] = TERM; sinceProposal[1] = TERM; sinceProposal[2] = TERM;
        sinceHeld[0] = TERM; sinceHeld[1] = TERM; sinceHeld[2] = TERM;
        sinceSeen[0] = TERM; sinceSeen[1] = TERM; sinceSeen[2] = TERM;
        sinceReplaced[0] = TERM; sinceReplaced[1] = TERM; sinceReplaced[2] = TERM;
        sinceTaken[0] = TERM; sinceTaken[1] = TERM; sinceTaken[2] = TERM
    }
end:
    do
    VM_STEPS(0)
    VM_STEPS(1)
    VM_STEPS(2)
    :: d_step { tickOf(0); tickOf(1); tickOf(2) }
    od
}
