# consensus.capnp: entries of the replicated log on disk, and the messages between control VMs.
@0xd70691b2485fb6f3;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sapphirespool::schema");

struct Endpoint {
  address @0 :Text;
  port @1 :UInt16;
}

struct ControlMember {
  vm @0 :Text;
  endpoint @1 :Endpoint;
  voter @2 :Bool;
  replica @3 :UInt64;
  # Availability zone; empty in a log that was written before this field existed.
  zone @4 :Text;
}

struct Members {
  members @0 :List(ControlMember);
  formed @1 :Bool;
}

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  union {
    noOp @2 :Void;
    command @3 :Data;
    members @4 :Members;
  }
}

# A record of the journal of the data folder.
struct LogRecord {
  union {
    hardState :group {
      term @0 :UInt64;
      vote @1 :UInt64;
      leader @4 :UInt64;
    }
    cutFrom @2 :UInt64;
    entry @3 :Entry;
  }
}

# The file that holds the newest snapshot.
struct SnapshotFile {
  index @0 :UInt64;
  term @1 :UInt64;
  members @2 :Members;
  state @3 :Data;
}

# The file that says whose the data folder is.
struct IdentityFile {
  vm @0 :Text;
  replica @1 :UInt64;
}

struct Message {
  from @0 :UInt64;
  # A message for another replica, for example for the one that this VM was before it lost its disk, is dropped.
  to @1 :UInt64;
  term @2 :UInt64;
  union {
    voteRequest :group {
      preVote @3 :Bool;
      lastIndex @4 :UInt64;
      lastTerm @5 :UInt64;
    }
    voteReply :group {
      preVote @6 :Bool;
      granted @7 :Bool;
    }
    heartbeat :group {
      round @8 :UInt64;
      commit @9 :UInt64;
    }
    heartbeatReply :group {
      round @10 :UInt64;
    }
    appendRequest :group {
      previousIndex @11 :UInt64;
      previousTerm @12 :UInt64;
      entries @13 :List(Entry);
      commit @14 :UInt64;
    }
    appendReply :group {
      accepted @15 :Bool;
      index @16 :UInt64;
      hintTerm @17 :UInt64;
    }
    snapshotChunk :group {
      index @18 :UInt64;
      snapshotTerm @19 :UInt64;
      members @20 :Members;
      offset @21 :UInt64;
      data @22 :Data;
      last @23 :Bool;
    }
    snapshotReply :group {
      index @24 :UInt64;
      offset @25 :UInt64;
      installed @26 :Bool;
    }
    # The leader of the term gives up its leadership and its lease.
    resigned @28 :Void;
  }
  # Where answers go while the receiver does not know the group yet.
  fromVm @27 :Text;
}

interface ConsensusPeer {
  # Answers at once; what the message causes comes as a message of its own.
  deliver @0 (message :Message) -> ();
  # Asked by a VM that finds itself in no group: it wants to be taken in. The answer says whether this VM is of no group
  # either, so that the first of the initial members may found one. A directory answers with the control VMs that it knows to be in a
  # group, and is empty if it knows none.
  join @1 (member :ControlMember) -> (empty :Bool, members :List(ControlMember), directory :Bool);
  # Asked again and again by a VM that is about to stop. Only the leader says that it may end.
  leave @2 (replica :UInt64) -> (mayEnd :Bool);
}
