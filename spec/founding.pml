/*
 * Founding of the control group by seeds, of which some or all are directories without a disk.
 *
 * Three seeds are the same for all VMs at the first start, the only one at which a VM may found. A seed is a directory or a control VM; up to
 * three control VMs may found. If a seed is a control VM, the first such seed founds. If all are directories, a founder needs the grants of two
 * of them. A directory grants to one control VM for as long as its process runs; only that VM, while it knows from its own disk that
 * it is in no group, can withdraw. A directory forgets everything at a restart, so its grant counts only if it has not restarted
 * since the candidate started, and only the process that created its data folder founds.
 *
 * Time is one moment, SETTLED: all processes have started for the first time by then, and a process that starts later is known
 * as restarted to each candidate that started before (in the code: all start within 0.3 s, a grant of a directory that is more than 0.5 s younger than the
 * candidate does not count, and none is asked for in the candidate's first second). Everything else may take any time.
 *
 * Bounds: 3 seeds, 3 control VMs (2 without GRANT) of which at most 2 are seeds, 2 restarts of directories, 1 restart of a control VM, 1 lost disk, 1 withdrawal.
 * Left out: elections and the log (spec/voters.pml): a group is the set of VMs whose disk names its founder. A group may accept commands
 * at any time after it was founded, as the wait for join requests is a matter of time only. All three seeds as control VMs: as with two.
 *
 * Properties: no two groups ever accept commands; a VM accepts a command only by the group on its own disk, whatever address a caller has cached
 * or a directory named.
 *
 * safeguards: GRANT GRANT_QUORUM CONTINUITY KEPT_GRANT FIRST_PROCESS SETTLED ROUND IDENTITY FIRST_START SEED_ORDER OWN_DISK
 */

#ifdef WITHOUT_GRANT
#define VMS 2
#else
#define VMS 3
#endif
#define SEEDS 3
#define NOBODY 3
#define DIRECTORY 4
#ifndef DIRECTORY_RESTARTS
#define DIRECTORY_RESTARTS 2
#endif
#ifndef WITHDRAWALS
#define WITHDRAWALS 1
#endif
#define BIT(at) (1 << (at))

/* DIRECTORY or the control VM at the seed's address. */
byte seed[SEEDS];
bool settled = false;

/* A directory: the VM that it granted to, the VMs that it knows to be in a group, and the VM whose answer is on its way. */
byte granted[SEEDS];
byte inGroup[SEEDS];
byte listed[SEEDS];
byte answer[SEEDS];
bool answerStale[SEEDS];

/* A control VM. Its disk: the founder of its group. */
byte group[VMS];
/* Directories whose grant it counts; directories that restarted since it started. */
byte grants[VMS];
byte younger[VMS];
/* Seeds that reported to it, as a seed, that they know of no group. */
byte reports[VMS];
/* Directories that it must tell of its withdrawal. */
byte releases[VMS];
bool restarted[VMS];
bool diskLost[VMS];

byte directoryRestarts = 0;
byte vmRestarts = 0;
byte lostDisks = 0;
byte withdrawals = 0;

/* Groups that accepted a command. */
byte accepted = 0;

#define allDirectories (seed[0] == DIRECTORY && seed[1] == DIRECTORY && seed[2] == DIRECTORY)
#define isDirectory(at) (seed[at] == DIRECTORY)

#ifdef WITHOUT_SETTLED
#define hasSettled (true)
#else
#define hasSettled settled
#endif

#ifdef WITHOUT_FIRST_PROCESS
#define isFirstProcess(vm) (true)
#else
#define isFirstProcess(vm) (!restarted[vm])
#endif

#ifdef WITHOUT_FIRST_START
#define isFirstStart(vm) (true)
#else
#define isFirstStart(vm) (!diskLost[vm])
#endif

#define isCandidate(vm) (group[vm] == NOBODY && isFirstStart(vm) && isFirstProcess(vm) && hasSettled)

#ifdef WITHOUT_CONTINUITY
#define counts(vm, at) (true)
#else
#define counts(vm, at) ((younger[vm] & BIT(at)) == 0)
#endif

/* Without GRANT: the directory lists the candidate, no smaller one, and knows of no group. */
#ifdef WITHOUT_GRANT
#define mayGrant(vm, at) ((listed[at] & BIT(vm)) != 0 && (listed[at] & (BIT(vm) - 1)) == 0)
#else
#define mayGrant(vm, at) (granted[at] == NOBODY || granted[at] == (vm))
#endif

#define mayAsk(vm, at) (allDirectories && isCandidate(vm) && answer[at] == NOBODY && counts(vm, at) && mayGrant(vm, at) && inGroup[at] == 0 \
    && ((grants[vm] | releases[vm]) & BIT(at)) == 0)

inline ask(vm, at)
{
    d_step {
#ifndef WITHOUT_GRANT
        granted[at] = vm;
#endif
        answer[at] = vm;
        answerStale[at] = false
    }
}

/* An answer to a question from before a withdrawal or a restart carries the round of that time. */
#ifdef WITHOUT_ROUND
#define isOfRound(at) (true)
#else
#define isOfRound(at) (!answerStale[at])
#endif

inline receive(at)
{
    d_step {
        if
        :: isOfRound(at) && counts(answer[at], at) -> grants[answer[at]] = grants[answer[at]] | BIT(at)
        :: else -> skip
        fi;
        answer[at] = NOBODY;
        answerStale[at] = false
    }
}

#ifdef WITHOUT_GRANT_QUORUM
#define enough(bits) ((bits) != 0)
#else
#ifdef WITHOUT_GRANT
#define enough(bits) ((bits) == 7)
#else
#define enough(bits) ((bits) == 3 || (bits) == 5 || (bits) == 6 || (bits) == 7)
#endif
#endif

#ifdef WITHOUT_SEED_ORDER
#define isFirstControl(vm) (seed[0] == (vm) || seed[1] == (vm) || seed[2] == (vm))
#else
#define isFirstControl(vm) (seed[0] == (vm) || (seed[0] == DIRECTORY && (seed[1] == (vm) || (seed[1] == DIRECTORY && seed[2] == (vm)))))
#endif

/* What each other seed reports of groups. */
#define reportsNone(vm, at) (seed[at] == (vm) || (seed[at] == DIRECTORY && inGroup[at] == 0) || (seed[at] < NOBODY && group[seed[at]] == NOBODY))
#define mayReport(vm, at) (!allDirectories && isFirstControl(vm) && group[vm] == NOBODY && (reports[vm] & BIT(at)) == 0 && reportsNone(vm, at))
#define allReportNone(vm) (reports[vm] == 7)

/* The founder among seeds may be a process that restarted: its disk says whether it has founded. */
#define mayFound(vm) ((isCandidate(vm) && allDirectories && enough(grants[vm])) \
    || (group[vm] == NOBODY && isFirstStart(vm) && isFirstControl(vm) && allReportNone(vm)))

inline found(vm)
{
    d_step { group[vm] = vm; grants[vm] = 0; releases[vm] = 0; reports[vm] = 0 }
}

/* The leader of a group takes in a VM that is in none. */
#define mayJoin(vm, other) (group[vm] == NOBODY && group[other] != NOBODY)

inline join(vm, other)
{
    d_step { group[vm] = group[other]; grants[vm] = 0; reports[vm] = 0 }
}

/* Any VM may be called as the leader; one that lost its disk is still named by entries from before. */
#ifdef WITHOUT_OWN_DISK
#define mayAccept(vm) (group[vm] != NOBODY || diskLost[vm])
#else
#define mayAccept(vm) (group[vm] != NOBODY)
#endif

#define isNews(vm) (group[vm] == NOBODY || (accepted & BIT(group[vm])) == 0)

inline accept(vm)
{
    d_step {
        assert(group[vm] != NOBODY);
        accepted = accepted | BIT(group[vm]);
        assert(accepted == 1 || accepted == 2 || accepted == 4)
    }
}

inline markStale(vm)
{
    if
    :: answer[0] == vm -> answerStale[0] = true
    :: else -> skip
    fi;
    if
    :: answer[1] == vm -> answerStale[1] = true
    :: else -> skip
    fi;
    if
    :: answer[2] == vm -> answerStale[2] = true
    :: else -> skip
    fi
}

#define grantedTo(vm) ((granted[0] == (vm)) | ((granted[1] == (vm)) << 1) | ((granted[2] == (vm)) << 2))

/* A candidate that does not get enough grants gives them back, so that another one can found. */
inline withdraw(vm)
{
    d_step {
        withdrawals++;
        grants[vm] = 0;
        releases[vm] = grantedTo(vm);
        markStale(vm)
    }
}

inline release(vm, at)
{
    d_step {
        releases[vm] = releases[vm] & ~BIT(at);
        if
        :: granted[at] == vm -> granted[at] = NOBODY
        :: else -> skip
        fi
    }
}

inline restartDirectory(at)
{
    d_step {
        directoryRestarts++;
        granted[at] = NOBODY;
        inGroup[at] = 0;
        listed[at] = 0;
        if
        :: settled ->
            younger[0] = younger[0] | BIT(at);
#if VMS == 3
            younger[2] = younger[2] | BIT(at);
#endif
            younger[1] = younger[1] | BIT(at)
        :: else -> skip
        fi
    }
}

/* Of a VM that is in no group the new process gives back what the former one was granted: it will not found. */
inline restartVm(vm)
{
    d_step {
        vmRestarts++;
        restarted[vm] = true;
        grants[vm] = 0;
        reports[vm] = 0;
#ifdef WITHOUT_FIRST_PROCESS
        younger[vm] = 0;
#endif
        releases[vm] = (group[vm] == NOBODY && !diskLost[vm] -> grantedTo(vm) : 0);
        markStale(vm)
    }
}

inline loseDisk(vm)
{
    d_step {
        lostDisks++;
        diskLost[vm] = true;
        group[vm] = NOBODY;
        grants[vm] = 0;
        reports[vm] = 0;
#ifdef WITHOUT_IDENTITY
        releases[vm] = grantedTo(vm);
#else
        releases[vm] = 0;
#endif
        markStale(vm)
    }
}

/* Announcements and their expiry. */
#ifdef WITHOUT_GRANT
#define MAY_LIST true
#else
#define MAY_LIST false
#endif
#define mayAnnounce(vm, at) (MAY_LIST && isDirectory(at) && group[vm] != NOBODY && (inGroup[at] & BIT(vm)) == 0)
#define mayList(vm, at) (MAY_LIST && isDirectory(at) && group[vm] == NOBODY && (listed[at] & BIT(vm)) == 0)

#ifdef WITHOUT_KEPT_GRANT
#define mayExpire(at) (inGroup[at] != 0 || granted[at] != NOBODY)
#else
#define mayExpire(at) (inGroup[at] != 0)
#endif

inline expire(at)
{
    d_step {
        inGroup[at] = 0;
#ifdef WITHOUT_KEPT_GRANT
        granted[at] = NOBODY;
#endif
        skip
    }
}

#define STEPS(vm, at) \
    :: mayAsk(vm, at) -> ask(vm, at) \
    :: (releases[vm] & BIT(at)) != 0 -> release(vm, at) \
    :: mayAnnounce(vm, at) -> inGroup[at] = inGroup[at] | BIT(vm) \
    :: mayReport(vm, at) -> reports[vm] = reports[vm] | BIT(at) \
    :: mayList(vm, at) -> listed[at] = listed[at] | BIT(vm)

#define VM_STEPS(vm) \
    STEPS(vm, 0) \
    STEPS(vm, 1) \
    STEPS(vm, 2) \
    :: mayFound(vm) -> found(vm) \
    :: mayAccept(vm) && isNews(vm) -> accept(vm) \
    :: withdrawals < WITHDRAWALS && grants[vm] != 0 && group[vm] == NOBODY -> withdraw(vm) \
    :: vmRestarts < 1 -> restartVm(vm) \
    :: lostDisks < 1 && group[vm] != NOBODY -> loseDisk(vm)

#define SEED_STEPS(at) \
    :: answer[at] != NOBODY -> receive(at) \
    :: isDirectory(at) && directoryRestarts < DIRECTORY_RESTARTS -> restartDirectory(at) \
    :: mayExpire(at) -> expire(at)

inline seeds(first, second, third)
{
    seed[0] = first; seed[1] = second; seed[2] = third
}

active proctype Start()
{
    byte each;
    d_step {
        each = 0;
        do
        :: each < 3 ->
            granted[each] = NOBODY;
            answer[each] = NOBODY;
            each++
        :: else -> break
        od;
        each = 0;
        group[0] = NOBODY;
#if VMS == 3
        group[2] = NOBODY;
#endif
        group[1] = NOBODY
    }
    atomic {
        if
        :: seeds(DIRECTORY, DIRECTORY, DIRECTORY)
        :: seeds(DIRECTORY, DIRECTORY, 0)
        :: seeds(DIRECTORY, 0, DIRECTORY)
        :: seeds(0, DIRECTORY, DIRECTORY)
        :: seeds(DIRECTORY, 1, 0)
        :: seeds(1, DIRECTORY, 0)
        :: seeds(1, 0, DIRECTORY)
        fi
    }
end:
    do
    :: !settled -> settled = true
    VM_STEPS(0)
    VM_STEPS(1)
    :: mayJoin(0, 1) -> join(0, 1)
    :: mayJoin(1, 0) -> join(1, 0)
#if VMS == 3
    VM_STEPS(2)
    :: mayJoin(0, 2) -> join(0, 2)
    :: mayJoin(1, 2) -> join(1, 2)
    :: mayJoin(2, 0) -> join(2, 0)
    :: mayJoin(2, 1) -> join(2, 1)
#endif
    SEED_STEPS(0)
    SEED_STEPS(1)
    SEED_STEPS(2)
    od
}
