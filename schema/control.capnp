# control.capnp: between proxies and the control group.
@0xce551eae4b35a77e;

using Cxx = import "/capnp/c++.capnp";
using Consensus = import "consensus.capnp";
$Cxx.namespace("sapphirespool::schema");

struct UpstreamView {
  id @0 :Text;
  endpoint @1 :Consensus.Endpoint;
  zone @2 :Text;
  incarnation @3 :UInt64;
  slots @4 :UInt32;
  connectionLimit @5 :UInt32;
  leaving @6 :Bool;
}

struct TermStart {
  term @0 :UInt64;
  keptUpTo @1 :UInt64;
}

struct GroupView {
  id @0 :Text;
  term @1 :UInt64;
  # Empty while a promotion is under way.
  primary @2 :Text;
  history @3 :List(TermStart);
  members @4 :List(UpstreamView);
  # 0: as each member announces.
  connectionLimit @5 :UInt32;
}

struct ServiceView {
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

struct CustomerView {
  id @0 :Text;
  # Digests of its API keys.
  keys @1 :List(Data);
  limited @2 :Bool;
  ratePerSecond @3 :Float64;
  burst @4 :Float64;
  priority @5 :UInt32;
}

struct ProxyView {
  id @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  callers @3 :Consensus.Endpoint;
  peers @4 :Consensus.Endpoint;
  leaving @5 :Bool;
  silent @6 :Bool;
  settled @7 :Bool;
}

struct ClusterView {
  revision @0 :UInt64;
  configuration @1 :UInt64;
  services @2 :List(ServiceView);
  groups @3 :List(GroupView);
  proxies @4 :List(ProxyView);
  customers @5 :List(CustomerView);
}

# What turns the view of one revision into that of another. Elements replace those of the same id or are new.
struct ViewDelta {
  base @0 :UInt64;
  changed @1 :ClusterView;
  removedServices @2 :List(Text);
  removedGroups @3 :List(Text);
  removedProxies @4 :List(Text);
  removedCustomers @5 :List(Text);
}

struct Announcement {
  group @0 :Text;
  id @1 :Text;
  address @2 :Text;
  port @3 :UInt16;
  zone @4 :Text;
  incarnation @5 :UInt64;
  term @6 :UInt64;
  role @7 :UInt8;
  lastTerm @8 :UInt64;
  position @9 :UInt64;
  slots @10 :UInt32;
  connectionLimit @11 :UInt32;
  leaving @12 :Bool;
  gone @13 :Bool;
  sequence @14 :UInt64;
}

struct Suspicion {
  group @0 :Text;
  term @1 :UInt64;
  upstream @2 :Text;
}

struct VmHeartbeat {
  vm @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  callers @3 :Consensus.Endpoint;
  peers @4 :Consensus.Endpoint;
  leaving @5 :Bool;
  confirmed @6 :UInt64;
  configuration @7 :UInt64;
  announcements @8 :List(Announcement);
  suspicions @9 :List(Suspicion);
  # The VM takes part in the very first start of the system.
  firstStart @10 :Bool;
}

# Why a request was not run, in the words of the refusals page.
struct Refusal {
  reason @0 :Text;
  detail @1 :Text;
  # 0: not known.
  retryAfterMs @2 :UInt64;
}

# The VM does not lead, or not provably. The leader is empty if it knows none.
struct Redirect {
  leader @0 :Consensus.Endpoint;
  # Further control VMs that it knows.
  controlVms @1 :List(Consensus.Endpoint);
}

# A control VM as it announces itself, and as directories pass it on.
struct KnownControlVm {
  vm @0 :Text;
  zone @1 :Text;
  endpoint @2 :Consensus.Endpoint;
  replica @3 :UInt64;
  # Members of its group; 0 if it is in none.
  groupSize @4 :UInt32;
  leads @5 :Bool;
  # Time since the control VM itself announced this.
  ageMs @6 :UInt64;
}

struct VmStatus {
  vm @0 :Text;
  zone @1 :Text;
  confirmed @2 :UInt64;
  configuration @3 :UInt64;
  live @4 :Bool;
}

struct ClusterStatus {
  leader @0 :Text;
  revision @1 :UInt64;
  configuration @2 :UInt64;
  inForce @3 :Bool;
  vms @4 :List(VmStatus);
}

interface Control {
  heartbeat @0 (heartbeat :VmHeartbeat) -> (answer :HeartbeatAnswer);
  # Answers as soon as the view differs from the known revision, or after a while. The VM has taken in the answers before this call.
  # A view of more than partLimit bytes comes in parts; 0: never. Further parts are asked for by transfer and offset, one at a time.
  watch @1 (known :UInt64, services :List(Text), vm :Text, partLimit :UInt32, transfer :UInt64, offset :UInt64) -> (answer :WatchAnswer);
  # The text is compressed.
  changeConfiguration @2 (change :Text, base :UInt64, text :Data) -> (answer :ChangeAnswer);
  readConfiguration @3 () -> (answer :TextAnswer);
  readStatus @4 () -> (answer :StatusAnswer);
}

struct HeartbeatAnswer {
  union {
    redirect @0 :Redirect;
    refused @1 :Refusal;
    lease :group {
      lengthMs @2 :UInt64;
      floor @3 :UInt64;
      # Where the control VMs are reached now.
      controlVms @4 :List(Consensus.Endpoint);
    }
  }
}

struct WatchAnswer {
  union {
    redirect @0 :Redirect;
    unchanged @1 :Void;
    # A compressed message that holds a ClusterView.
    snapshot @2 :Data;
    # A compressed message that holds a ViewDelta.
    delta @3 :Data;
    # Of a snapshot or a delta.
    part @4 :ViewPart;
  }
}

struct ViewPart {
  transfer @0 :UInt64;
  # Bytes of all parts together.
  total @1 :UInt64;
  isDelta @2 :Bool;
  data @3 :Data;
}

struct ChangeAnswer {
  union {
    redirect @0 :Redirect;
    accepted @1 :UInt64;
    refused @2 :Refusal;
    unknown @3 :Refusal;
  }
}

struct TextAnswer {
  union {
    redirect @0 :Redirect;
    refused @1 :Refusal;
    text :group {
      revision @2 :UInt64;
      # Compressed.
      content @3 :Data;
    }
  }
}

struct StatusAnswer {
  union {
    redirect @0 :Redirect;
    refused @1 :Refusal;
    status @2 :ClusterStatus;
  }
}

interface Directory {
  # A control VM announces itself by it, and a directory passes on what it knows. Both get what the called VM knows: a control VM knows
  # itself only.
  exchange @0 (directory :Consensus.Endpoint, known :List(KnownControlVm)) -> (known :List(KnownControlVm));
}

# What a control VM or a directory serves at its one endpoint.
interface ControlVm extends (Consensus.ConsensusPeer, Control, Directory) {
}
