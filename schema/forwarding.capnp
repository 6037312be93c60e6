# forwarding.capnp: between a proxy whose caller needs a connection to an upstream and one that holds such connections.
@0xcd00d856c2e960ce;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sapphirespool::forwarding::schema");

struct Position {
  term @0 :UInt64;
  number @1 :UInt64;
}

struct Value {
  name @0 :Text;
  value @1 :Text;
}

struct Shape {
  writes @0 :Bool;
  shape @1 :Text;
}

struct PreparedName {
  shape @0 :Shape;
  name @1 :Text;
}

# interactive::Command.
struct Command {
  kind @0 :UInt8;
  id @1 :Text;
  name @2 :Text;
  text @3 :Text;
  shape @4 :Shape;
  # Absent: any position will do.
  after @5 :Position;
}

# interactive::FailureReply.
struct Failure {
  failure @0 :UInt8;
  detail @1 :Text;
  # 0: not known.
  retryAfterMs @2 :UInt64;
}

struct CommandResult {
  rows @0 :List(Text);
  signature @1 :Text;
  # Absent: the command succeeded.
  failure @2 :Failure;
  status @3 :UInt8;
  position @4 :Position;
}

# What one proxy sends another. A lease is a connection that the receiver holds for the sender; the sender numbers them.
struct Message {
  lease @0 :UInt64;
  union {
    acquire :group {
      group @1 :Text;
      upstream @2 :Text;
      values @3 :List(Value);
      patienceMs @4 :UInt64;
      connectMs @5 :UInt64;
      # Until the caller wants the answer.
      objectiveMs @24 :UInt64;
      priority @25 :UInt32;
      # Empty: a caller without a customer.
      customer @29 :Text;
    }
    acquired :group {
      values @6 :List(Value);
      prepared @7 :List(PreparedName);
      # Statements that the answering proxy has at the upstream or that wait for it.
      load @8 :UInt32;
    }
    refused :group {
      why @9 :Failure;
      # The sender is no owner by its own view.
      notOwner @28 :Bool;
    }
    exchange :group {
      commands @10 :List(Command);
      limitMs @11 :UInt64;
    }
    exchanged :group {
      results @12 :List(CommandResult);
      sent @13 :Bool;
      broken @14 :Bool;
    }
    release :group {
      # What the sender has set on the connection; without a clean end it is closed.
      clean @15 :Bool;
      values @16 :List(Value);
      prepared @17 :List(PreparedName);
    }
    # Asks how far the upstream's group has come; the number of the lease only ties the answer to it.
    prove :group {
      group @18 :Text;
      upstream @19 :Text;
      oldestMs @20 :UInt64;
      limitMs @21 :UInt64;
    }
    proved :group {
      # Absent: the upstream gave no proof.
      position @22 :Position;
      # How long before this answer the upstream was asked, by the clock of the proxy that answers.
      ageMs @23 :UInt64;
    }
    # Asks whether the receiver is there, and is answered at once.
    ping @26 :Void;
    pong @27 :Void;
    # Takes one operation out of the part of a customer's quota that the receiver allocates.
    takeQuota :group {
      customer @30 :Text;
      # Longest time that the operation may wait for room.
      maxWaitUs @31 :UInt64;
    }
    quotaTaken :group {
      granted @32 :Bool;
      # The sender allocates no part of the quota.
      notAllocator @33 :Bool;
      # Granted: until the operation may run. Otherwise: until the part has room again.
      delayUs @34 :UInt64;
    }
  }
}
