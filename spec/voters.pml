/*
 * Voters of the control group: five voters, of which two may lose their disks.
 *
 * A VM that lost its disk comes back under a new replica identity as a learner. The leader removes the former replica once the learner has
 * caught up, then promotes the learner, one change at a time; any other VM may become leader between two changes and goes on from the members in its log.
 * A group of three voters that grows to five accepts commands only once it had five.
 *
 * The log is abstracted to a tree of entries: an entry knows its term, its parent and the voters that hold from it on, and a replica's log is
 * named by its last entry. Each leader begins with an entry of its own term; each entry after that changes the voters. Any entry that is committed
 * once the group has formed counts as an acknowledged command.
 *
 * Bounds: 5 VMs, 2 election terms; at first either five voters (2 lost disks, 4 changes), or three with two learners (1 lost disk, 2 without FORMED;
 * 3 changes). That a change waits for an entry of the leader's own term is modelled, but its loss needs three terms and shows nothing within
 * these bounds.
 * Left out: two candidates of one term, appends of a part of the log, and appends that overtake another (spec/election.pml); leases (spec/lease.pml);
 * zones and voters replaced while their disk is intact; commands between changes; a restart that keeps the disk, since a VM that is silent does the same.
 *
 * Properties: a leader holds all that was committed in earlier terms, and nothing is committed in an earlier term beside it; an acknowledged
 * entry is on a disk of the group.
 *
 * safeguards: NEW_IDENTITY FORMED QUORUM LOG_CHECK ONE_CHANGE ONE_VOTER
 */

/* Safeguards are taken out for the start at which their loss shows sooner. */
#if defined(WITHOUT_FORMED) || defined(WITHOUT_ONE_CHANGE) || defined(WITHOUT_ONE_VOTER)
#define ONLY_GROWING
#endif
#if defined(WITHOUT_QUORUM) || defined(WITHOUT_LOG_CHECK)
#define ONLY_FORMED
#endif

#define VMS 5
#define REPLICAS 7
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 7
#endif
#ifndef GROWING_TERMS
#define GROWING_TERMS 2
#endif
#ifndef FORMED_TERMS
#define FORMED_TERMS 2
#endif
#ifndef GROWING_LOST
#ifdef WITHOUT_FORMED
#define GROWING_LOST 2
#else
#define GROWING_LOST 1
#endif
#endif
#ifndef GROWING_ENTRIES
#define GROWING_ENTRIES 6
#endif
#define MAX_TERMS (voters[1] == 31 -> FORMED_TERMS : GROWING_TERMS)
#define MAX_LOST (voters[1] == 31 -> 2 : GROWING_LOST)
#define MAX_ENTRIES (voters[1] == 31 -> ENTRIES : GROWING_ENTRIES)
#define BIT(at) (1 << (at))
/* Candidate of a term that has ended. */
#define NOBODY 7

/* A replica: its term, its last entry (0: none), and whether its disk is there. */
byte term[REPLICAS];
byte last[REPLICAS];
byte alive;
/* The VM of the replica 5 or 6. */
byte vmOf[2];
byte lostDisks = 0;

/* A term: its candidate, the votes, and the first entry of its leader once it is elected. */
byte candidate[TERMS + 1];
byte votes[TERMS + 1];
byte firstEntry[TERMS + 1];
byte terms = 1;
/* VMs that stood for election; only to leave out runs that differ in the names of VMs. */
byte stood = 0;

/* An entry. */
byte parent[ENTRIES + 1];
byte entryTerm[ENTRIES + 1];
byte voters[ENTRIES + 1];
byte acks[ENTRIES + 1];
bool committed[ENTRIES + 1];
bool formed[ENTRIES + 1];
byte depth[ENTRIES + 1];
byte entries = 0;

hidden byte at;
hidden byte each;
hidden byte other;
hidden byte holds;

#define one(bits, at) (((bits) >> (at)) & 1)
#define count(bits) (one(bits, 0) + one(bits, 1) + one(bits, 2) + one(bits, 3) + one(bits, 4) + one(bits, 5) + one(bits, 6))
#ifdef WITHOUT_QUORUM
#define isQuorum(bits, group) (2 * count((bits) & (group)) >= count(group))
#else
#define isQuorum(bits, group) (2 * count((bits) & (group)) > count(group))
#endif

#define isAlive(replica) ((alive & BIT(replica)) != 0)
#define isElected(t) (firstEntry[t] != 0)
#define leads(t) (isElected(t) && isAlive(candidate[t]) && term[candidate[t]] == (t))
#define stands(t) ((t) <= terms && !isElected(t) && isAlive(candidate[t]) && term[candidate[t]] == (t))
#define logOf(t) last[candidate[t]]

/* Sets holds: whether the log that ends with the entry has the other one. */
inline find(entry, wanted)
{
    at = entry;
    do
    :: at == 0 || at == wanted -> break
    :: else -> at = parent[at]
    od;
    holds = (at == wanted)
}

#ifdef WITHOUT_FORMED
#define isAcknowledged(entry) (committed[entry])
#else
#define isAcknowledged(entry) (committed[entry] && formed[entry])
#endif

inline checkHolders()
{
    each = 1;
    do
    :: each > entries -> break
    :: each <= entries && !isAcknowledged(each) -> each++
    :: else ->
        other = 0;
        do
        :: other == REPLICAS -> assert(false)
        :: other < REPLICAS && !isAlive(other) -> other++
        :: else ->
            find(last[other], each);
            if
            :: holds -> break
            :: else -> other++
            fi
        od;
        each++
    od;
    each = 0;
    other = 0;
    at = 0
}

inline append(t, group)
{
    entries++;
    parent[entries] = logOf(t);
    depth[entries] = depth[logOf(t)] + 1;
    entryTerm[entries] = t;
    voters[entries] = group;
    formed[entries] = formed[logOf(t)] || count(group) == VMS;
    acks[entries] = BIT(candidate[t]);
    logOf(t) = entries
}

/* Forgets what no longer matters of a term whose candidate or leader has left it. */
inline leave(replica)
{
    if
    :: term[replica] != 0 && candidate[term[replica]] == replica ->
        candidate[term[replica]] = NOBODY;
        votes[term[replica]] = 0;
        at = 1;
        do
        :: at > entries -> break
        :: else ->
            if
            :: entryTerm[at] == term[replica] -> acks[at] = 0
            :: else -> skip
            fi;
            at++
        od;
        at = 0
    :: else -> skip
    fi
}

inline stand(replica)
{
    d_step {
        leave(replica);
        stood = stood | BIT(replica);
        terms++;
        candidate[terms] = replica;
        votes[terms] = BIT(replica);
        term[replica] = terms
    }
}

/* The VMs 1 to 4 are alike at first, or 1 and 2, and 3 and 4: the first of them to stand may as well have the lower number. */
#define mayBeNext(replica) (((replica) != 2 || (stood & 2) != 0) && ((replica) != 4 || (stood & 8) != 0) \
    && ((replica) != 3 || voters[1] != 31))
#define mayStand(replica) (mayBeNext(replica) && terms < MAX_TERMS && isAlive(replica) && last[replica] != 0 && (voters[last[replica]] & BIT(replica)) != 0 && !leadsNow(replica))
#define leadsNow(replica) (isElected(term[replica]) && candidate[term[replica]] == (replica))

#ifdef WITHOUT_LOG_CHECK
#define covers(entry, other) (true)
#else
#define covers(entry, other) (entryTerm[entry] > entryTerm[other] || (entryTerm[entry] == entryTerm[other] && depth[entry] >= depth[other]))
#endif

#define mayVote(replica, t) (stands(t) && isAlive(replica) && term[replica] < (t) && (voters[logOf(t)] & BIT(replica)) != 0 \
    && covers(logOf(t), last[replica]))

inline vote(replica, t)
{
    d_step {
        leave(replica);
        term[replica] = t;
        votes[t] = votes[t] | BIT(replica)
    }
}

#define mayLead(t) (stands(t) && entries < MAX_ENTRIES && isQuorum(votes[t], voters[logOf(t)]))

inline lead(t)
{
    d_step {
        each = 1;
        do
        :: each > entries -> break
        :: else ->
            if
            :: committed[each] && entryTerm[each] < t -> find(logOf(t), each); assert(holds)
            :: else -> skip
            fi;
            each++
        od;
        each = 0;
        append(t, voters[logOf(t)]);
        firstEntry[t] = entries;
        votes[t] = 0
    }
}

/* The follower takes the leader's whole log. */
#define mayTake(replica, t) (leads(t) && (replica) != candidate[t] && isAlive(replica) && term[replica] <= (t) && last[replica] != logOf(t))

inline take(replica, t)
{
    d_step {
        if
        :: term[replica] != t -> leave(replica)
        :: else -> skip
        fi;
        term[replica] = t;
        last[replica] = logOf(t);
        at = last[replica];
        do
        :: at == 0 || entryTerm[at] != t -> break
        :: else ->
            if
            :: committed[at] && at != logOf(t) -> skip
            :: else -> acks[at] = acks[at] | BIT(replica)
            fi;
            at = parent[at]
        od;
        at = 0
    }
}

/* By the voters of the newest entry of the leader, committed or not. */
#define mayCommit(t, entry) (leads(t) && (entry) <= entries && entryTerm[entry] == (t) && !committed[entry] && isQuorum(acks[entry], voters[logOf(t)]))

inline commit(t, entry)
{
    d_step {
        at = entry;
        do
        :: at == 0 || entryTerm[at] != t -> break
        :: else ->
            committed[at] = true;
            if
            :: at != logOf(t) -> acks[at] = 0
            :: else -> skip
            fi;
            at = parent[at]
        od;
        each = t + 1;
        do
        :: each > terms -> break
        :: else ->
            if
            :: isElected(each) -> find(firstEntry[each], entry); assert(holds)
            :: else -> skip
            fi;
            each++
        od;
        checkHolders()
    }
}

#if defined(WITHOUT_ONE_CHANGE)
#define acceptsChange(t) (committed[firstEntry[t]])
#else
#define acceptsChange(t) (committed[logOf(t)])
#endif

#define mayChange(t) (leads(t) && entries < MAX_ENTRIES && acceptsChange(t))
#define group(t) voters[logOf(t)]
#ifdef WITHOUT_ONE_CHANGE
#define caughtUp(t, replica) (isAlive(replica) && (acks[firstEntry[t]] & BIT(replica)) != 0)
#else
#define caughtUp(t, replica) (isAlive(replica) && (acks[logOf(t)] & BIT(replica)) != 0)
#endif
#define hasFormer(t, replica) ((replica) >= VMS && (group(t) & BIT(vmOf[(replica) - VMS])) != 0)
#define isLearner(t, replica) ((group(t) & BIT(replica)) == 0 && caughtUp(t, replica))

#define mayRemoveFormer(t, replica) (mayChange(t) && isLearner(t, replica) && hasFormer(t, replica))
#define mayPromote(t, replica) (mayChange(t) && isLearner(t, replica) && !hasFormer(t, replica) && count(group(t)) < VMS)

#ifdef WITHOUT_ONE_VOTER
#define mayPromoteBoth(t, first, second) (mayPromote(t, first) && mayPromote(t, second) && count(group(t)) < VMS - 1)
#else
#define mayPromoteBoth(t, first, second) (false)
#endif

inline change(t, next)
{
    d_step { append(t, next) }
}

/* Of five voters, those that never stand are alike: the first of them to lose its disk may as well be 3. */
#ifdef WITHOUT_NEW_IDENTITY
#define mayLose(replica) (true)
#else
#define mayLose(replica) ((replica) != 4 || voters[1] != 31 || !isAlive(3))
#endif

/* The VM comes back under a new identity. */
inline loseDisk(replica)
{
    d_step {
        leave(replica);
#ifdef WITHOUT_NEW_IDENTITY
        last[replica] = 0;
        term[replica] = 0;
#else
        alive = alive & ~BIT(replica);
        alive = alive | BIT(VMS + lostDisks);
        vmOf[lostDisks] = replica;
        last[replica] = 0;
        term[replica] = 0;
#endif
        lostDisks++;
        checkHolders()
    }
}

#define REPLICA_TERM_STEPS(replica, t) \
    :: mayVote(replica, t) -> vote(replica, t) \
    :: mayTake(replica, t) -> take(replica, t)

#define REPLICA_STEPS(replica) \
    :: mayStand(replica) -> stand(replica) \
    REPLICA_TERM_STEPS(replica, 1) \
    REPLICA_TERM_STEPS(replica, 2) \
    REPLICA_TERM_STEPS(replica, 3)

#define VM_STEPS(replica) \
    REPLICA_STEPS(replica) \
    :: lostDisks < MAX_LOST && isAlive(replica) && mayLose(replica) -> loseDisk(replica)

#define LEARNER_STEPS(replica, t) \
    :: mayRemoveFormer(t, replica) -> change(t, group(t) & ~BIT(vmOf[replica - VMS])) \
    :: mayPromote(t, replica) -> change(t, group(t) | BIT(replica))

#define TERM_STEPS(t) \
    :: mayLead(t) -> lead(t) \
    :: mayCommit(t, 2) -> commit(t, 2) \
    :: mayCommit(t, 3) -> commit(t, 3) \
    :: mayCommit(t, 4) -> commit(t, 4) \
    :: mayCommit(t, 5) -> commit(t, 5) \
    :: mayCommit(t, 6) -> commit(t, 6) \
    :: ENTRIES > 6 && mayCommit(t, 7 - (ENTRIES < 7)) -> commit(t, 7 - (ENTRIES < 7)) \
    :: ENTRIES > 7 && mayCommit(t, ENTRIES) -> commit(t, ENTRIES) \
    :: mayPromote(t, 3) -> change(t, group(t) | BIT(3)) \
    :: mayPromote(t, 4) -> change(t, group(t) | BIT(4)) \
    :: mayPromoteBoth(t, 3, 4) -> change(t, group(t) | BIT(3) | BIT(4)) \
    LEARNER_STEPS(5, t) \
    LEARNER_STEPS(6, t)

active proctype Group()
{
    atomic {
        alive = 31;
        entries = 1;
        committed[1] = true;
        last[0] = 1; last[1] = 1; last[2] = 1; last[3] = 1; last[4] = 1;
        term[0] = 1;
        candidate[1] = 0;
        votes[1] = 31;
        depth[1] = 1;
        if
#ifndef ONLY_FORMED
        :: voters[1] = 7
#endif
#ifndef ONLY_GROWING
        :: voters[1] = 31; formed[1] = true
#endif
        fi;
        d_step { append(1, voters[1]); firstEntry[1] = entries }
    }
end:
    do
    VM_STEPS(0)
    VM_STEPS(1)
    VM_STEPS(2)
    VM_STEPS(3)
    VM_STEPS(4)
    REPLICA_STEPS(5)
    REPLICA_STEPS(6)
    TERM_STEPS(1)
    TERM_STEPS(2)
    TERM_STEPS(3)
    od
}
