# peers.capnp: what proxies ask of each other.
@0xd8f1c7a3b5e94f26;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sapphirespool::peers::schema");

enum KeyState {
  started @0;
  startedUnsure @1;
  full @2;
  inProgress @3;
  finished @4;
  outcomeUnknown @5;
  reused @6;
}

struct KeyStart {
  key @0 :Text;
  fingerprint @1 :UInt64;
  attempt @2 :Text;
  allowedMs @3 :UInt64;
}

struct KeyReply {
  state @0 :KeyState;
  outcome @1 :Text;
  proxiesSeen @2 :UInt32;
}

enum Step {
  statement @0;
  commit @1;
  rollback @2;
}

struct TransactionRequest {
  service @0 :Text;
  id @1 :Text;
  step @2 :Step;
  sql @3 :Text;
  # JSON array.
  params @4 :Text;
  write @5 :Bool;
  session @6 :Text;
  timeoutMs @7 :UInt64;
}

# Each call names the process that it is meant for by its incarnation; another process answers "wrongProcess" and does nothing.
interface Peer {
  startKey @0 (process :UInt64, start :KeyStart) -> (wrongProcess :Bool, reply :KeyReply);
  finishKey @1 (process :UInt64, key :Text, attempt :Text, outcome :Text) -> ();
  abandonKey @2 (process :UInt64, key :Text, attempt :Text) -> ();
  updateHome @3 (process :UInt64, session :Text, group :Text, term :UInt64, position :UInt64) -> (wrongProcess :Bool);
  findHome @4 (process :UInt64, session :Text, group :Text) -> (known :Bool, term :UInt64, position :UInt64);
  # The reply is in the form of Proxy/outcomecodec.h.
  forward @5 (process :UInt64, request :TransactionRequest) -> (wrongProcess :Bool, reply :Text);
}
