/*
 * Configuration: racing operators, resends, restarts; a revision never goes back and is reported in force only when it is.
 *
 * Two operators edit the same base and resend their change while its answer is lost. Control keeps the text in its replicated log,
 * from which it also restarts by a snapshot. Two proxies serve under a lease; either is cut off, restarts, and comes back.
 *
 * Bounds: 2 operators, 3 sends each, 2 proxies, 1 snapshot, 2 restarts.
 * Left out: the log itself (spec/election.pml); time, but for the order in which leases end at a proxy and at control.
 *
 * Properties: a change is accepted once; its operator is told of no conflict once it was accepted; of two changes on one base one is
 * accepted; what a proxy serves never goes back; when a revision is reported in force, no proxy serves an older one.
 *
 * safeguards: CHANGE_ID BASE_CHECK SNAPSHOT_IDS CONFIRMED_START LEASE_WAIT CONTROL_LEASE_LATER
 */

#define SENDS 3

/* Control's replicated state. */
byte revision = 1;
byte acceptedAs[2]; /* revision as which the operator's change was accepted, 0 if it was not */
byte timesAccepted[2];
bool snapshotTaken = false;

byte sends[2];

/* Proxies. */
byte disk[2];         /* newest revision that the proxy ever had, which outlives a restart */
byte serves[2];       /* 0: serves nothing */
byte highest[2];      /* highest revision that it ever served */
bool lease[2];        /* the lease by the proxy's own clock */
bool controlLease[2]; /* the same lease by control's clock */
byte confirmed[2];    /* as control knows it */
byte restarts = 0;
byte inForce = 1;

#ifdef WITHOUT_CHANGE_ID
#define known(operator) (false)
#else
#define known(operator) (acceptedAs[operator] != 0)
#endif

#ifdef WITHOUT_BASE_CHECK
#define current(operator) (true)
#else
#define current(operator) (revision == 1) /* both edited revision 1 */
#endif

inline receiveChange(operator)
{
    d_step {
        sends[operator]++;
        if
        :: known(operator) -> skip /* the first answer again */
        :: !known(operator) && current(operator) ->
            revision++;
            acceptedAs[operator] = revision;
            timesAccepted[operator]++;
            assert(timesAccepted[0] + timesAccepted[1] == 1)
        :: else -> assert(timesAccepted[operator] == 0) /* told of a conflict, which must be the truth */
        fi
    }
}

inline heartbeat(proxy)
{
    d_step {
        serves[proxy] = revision;
        disk[proxy] = revision;
        confirmed[proxy] = revision;
        lease[proxy] = true;
        controlLease[proxy] = true;
        assert(serves[proxy] >= highest[proxy]);
        highest[proxy] = serves[proxy]
    }
}

/* The heartbeat reached control, its answer was lost: control takes the lease as granted, the proxy does not have it. */
inline heartbeatLost(proxy)
{
    controlLease[proxy] = true
}

inline endLease(proxy)
{
    d_step { lease[proxy] = false; serves[proxy] = 0 }
}

inline restart(proxy)
{
    d_step {
        restarts++;
        lease[proxy] = false;
#ifdef WITHOUT_CONFIRMED_START
        serves[proxy] = disk[proxy];
        assert(serves[proxy] >= inForce);
#else
        serves[proxy] = 0;
#endif
        skip
    }
}

#ifdef WITHOUT_CONTROL_LEASE_LATER
#define mayEnd(proxy) (true)
#else
#define mayEnd(proxy) (!lease[proxy])
#endif

#ifdef WITHOUT_LEASE_WAIT
#define settled(proxy) (confirmed[proxy] == revision || true)
#else
#define settled(proxy) (confirmed[proxy] == revision || !controlLease[proxy])
#endif

inline reportInForce()
{
    d_step {
        inForce = revision;
        assert(serves[0] == 0 || serves[0] >= inForce);
        assert(serves[1] == 0 || serves[1] >= inForce)
    }
}

active proctype System()
{
end:
    do
    :: sends[0] < SENDS -> receiveChange(0)
    :: sends[1] < SENDS -> receiveChange(1)
    :: !snapshotTaken ->
        d_step {
            snapshotTaken = true;
#ifdef WITHOUT_SNAPSHOT_IDS
            acceptedAs[0] = 0;
            acceptedAs[1] = 0;
#endif
            skip
        }
    :: heartbeat(0)
    :: heartbeat(1)
    :: heartbeatLost(0)
    :: heartbeatLost(1)
    :: lease[0] -> endLease(0)
    :: lease[1] -> endLease(1)
    :: controlLease[0] && mayEnd(0) -> controlLease[0] = false
    :: controlLease[1] && mayEnd(1) -> controlLease[1] = false
    :: restarts < 2 -> restart(0)
    :: restarts < 2 -> restart(1)
    :: settled(0) && settled(1) && inForce < revision -> reportInForce()
    od
}
