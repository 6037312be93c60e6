# state.capnp: commands, results and snapshots of the replicated state. Run scripts/generate-schema after a change.
@0xb4f0a1c7d2e93658;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sapphirespool::state::schema");

struct Endpoint {
  address @0 :Text;
  port @1 :UInt16;
}

struct Service {
  id @0 :Text;
  group @1 :Text;
  dependsOn @2 :List(Text);
  readAgeMs @3 :UInt64;
  timeoutMs @4 :UInt64;
  queueLimit @5 :UInt32;
  retryRatio @6 :Float64;
  # membership::Consistency.
  consistency @7 :UInt8;
  objectiveMs @8 :UInt64;
  priority @9 :UInt32;
  transactionIdleMs @10 :UInt64;
  requiresKey @11 :Bool;
}

struct Customer {
  id @0 :Text;
  # Digests of its API keys.
  keys @1 :List(Data);
  limited @2 :Bool;
  ratePerSecond @3 :Float64;
  burst @4 :Float64;
  priority @5 :UInt32;
}

struct GroupSize {
  id @0 :Text;
  size @1 :UInt32;
  # 0: as each member announces.
  connectionLimit @2 :UInt32;
  selfReplicating @3 :Bool;
  confirmations @4 :UInt32;
}

struct Upstream {
  id @0 :Text;
  endpoint @1 :Endpoint;
  zone @2 :Text;
  incarnation @3 :UInt64;
  slots @4 :UInt32;
  connectionLimit @5 :UInt32;
  leaving @6 :Bool;
}

struct Vm {
  id @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  callers @3 :Endpoint;
  peers @4 :Endpoint;
  leaving @5 :Bool;
  silent @6 :Bool;
  settled @7 :Bool;
}

struct Command {
  union {
    changeConfiguration :group {
      change @0 :Text;
      base @1 :UInt64;
      text @2 :Text;
      services @3 :List(Service);
      groups @4 :List(GroupSize);
      # 0: the change is bound to its base.
      version @18 :UInt64;
      customers @26 :List(Customer);
    }
    registerUpstream :group {
      group @5 :Text;
      upstream @6 :Upstream;
    }
    beginTerm :group {
      group @7 :Text;
      previous @8 :UInt64;
      next @9 :UInt64;
    }
    choosePrimary :group {
      group @10 :Text;
      term @11 :UInt64;
      primary @12 :Text;
      incarnation @13 :UInt64;
      keptUpTo @14 :UInt64;
      paused @27 :List(Text);
    }
    registerVm @15 :Vm;
    forgetVm :group {
      vm @16 :Text;
      incarnation @17 :UInt64;
    }
    forgetUpstream :group {
      group @19 :Text;
      upstream @20 :Text;
      incarnation @21 :UInt64;
    }
    # A compressed message that holds a Command.
    compressed @22 :Data;
    grantDuty :group {
      holder @23 :Text;
      leadership @24 :UInt64;
      previous @25 :UInt64;
    }
    noteResume :group {
      group @28 :Text;
      member @29 :Text;
      done @30 :Bool;
    }
  }
}

struct Result {
  union {
    accepted @0 :UInt64;
    conflict @1 :UInt64;
    changeIdReused @2 :Void;
    applied @3 :Void;
    ignored @4 :Void;
  }
  # state::IgnoredReason, for ignored.
  ignoredReason @5 :UInt8;
}

struct Change {
  id @0 :Text;
  base @1 :UInt64;
  digest @2 :UInt64;
  result @3 :Result;
}

struct TermStart {
  term @0 :UInt64;
  keptUpTo @1 :UInt64;
}

struct PausedMember {
  id @0 :Text;
  mayResume @1 :Bool;
}

struct Group {
  id @0 :Text;
  size @1 :UInt32;
  term @2 :UInt64;
  primary @3 :Text;
  primaryIncarnation @4 :UInt64;
  history @5 :List(TermStart);
  members @6 :List(Upstream);
  connectionLimit @7 :UInt32;
  selfReplicating @8 :Bool;
  confirmations @9 :UInt32;
  lastPrimary @10 :Text;
  departed @11 :List(Text);
  paused @12 :List(PausedMember);
}

struct DutyGrant {
  holder @0 :Text;
  leadership @1 :UInt64;
  number @2 :UInt64;
}

struct Snapshot {
  revision @0 :UInt64;
  configuration @1 :UInt64;
  text @2 :Text;
  services @3 :List(Service);
  groups @4 :List(Group);
  vms @5 :List(Vm);
  changes @6 :List(Change);
  version @7 :UInt64;
  duty @8 :DutyGrant;
  customers @9 :List(Customer);
}
