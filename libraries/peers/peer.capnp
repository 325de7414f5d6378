@0xd3c1a7f08e5b4c21;

# Protocol between nodes. Fields are only ever added.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("oleandertide::peers::wire");

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct CallRequest {
  id @0 :UInt64;
  # Chosen by the ingress; the answer repeats it.
  sequence @1 :UInt64;
  # Sequence of the configuration on which the ingress acts.
  route @2 :Text;
  method @3 :Text;
  target @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  idempotencyKey @7 :Text;
  fingerprint @8 :UInt64;
  token @9 :UInt64;
  remainingMicroseconds @10 :UInt64;
  isRetry @11 :Bool;
  job @12 :Text;
  # Name of the scheduled job that sends the call; empty for callers.
  service @13 :Text;
  requestClass @14 :UInt8;
  isRepeatable @15 :Bool;
}

struct CallResponse {
  id @0 :UInt64;
  union {
    answer :group {
      status @1 :UInt16;
      headers @2 :List(Header);
      body @3 :Data;
    }
    refusal :group {
      reason @4 :Text;
      outcome @5 :UInt8;
    }
  }
  sequence @6 :UInt64;
  # Sequence of the configuration on which the receiver acts.
}

struct ClaimRequest {
  key @0 :Text;
  fingerprint @1 :UInt64;
  token @2 :UInt64;
  claimant @3 :UInt64;
  remainingMicroseconds @4 :UInt64;
}

struct ClaimResponse {
  union {
    granted @0 :Void;
    answered :group {
      status @1 :UInt16;
      headers @2 :List(Header);
      body @3 :Data;
    }
    alreadyRunning @4 :Void;
    answerNotKept @5 :Void;
    keyReused @6 :Void;
    storeUnavailable @7 :Void;
  }
}

struct CompletionRequest {
  key @0 :Text;
  token @1 :UInt64;
  hasAnswer @2 :Bool;
  status @3 :UInt16;
  headers @4 :List(Header);
  body @5 :Data;
}

struct Member {
  address @0 :Text;
  life @1 :UInt64;
  dataCentre @2 :Text;
  region @3 :Text;
  service @4 :Text;
  backendAddress @5 :Text;
  slots @6 :UInt32;
  connections @7 :UInt32;
  state @8 :UInt8;
  incarnation @9 :UInt64;
}

struct Confirmation {
  rowSequence @0 :UInt64;
  usableSequence @1 :UInt64;
  ageMilliseconds @2 :UInt32;
}

struct HeardEntry {
  dataCentre @0 :Text;
  ageMilliseconds @1 :UInt32;
}

struct CrashReport {
  fingerprint @0 :UInt64;
  backendAddress @1 :Text;
  ageMilliseconds @2 :UInt32;
  isCompletion @3 :Bool;
}

struct Gossip {
  id @0 :UInt64;
  sender @1 :Member;
  heldSequence @2 :UInt64;
  heldDigest @3 :Text;
  committed @4 :UInt64;
  confirmation @5 :Confirmation;
  countedMembers @6 :UInt32;
  heard @7 :List(HeardEntry);
  tableHash @8 :UInt64;
  deltas @9 :List(Member);
  crashReports @10 :List(CrashReport);
}

struct SyncRequest {
  sender @0 :Member;
  firstBucket @1 :UInt32;
  hashes @2 :List(UInt32);
}

struct SyncReply {
  records @0 :List(Member);
  nextBucket @1 :UInt32;
}

struct Document {
  union {
    absent @0 :Void;
    bytes @1 :Data;
  }
}

interface Peer {
  call @0 (request :CallRequest) -> (response :CallResponse);
  exchange @1 (request :Gossip) -> (reply :Gossip);
  synchronise @2 (request :SyncRequest) -> (reply :SyncReply);
  fetchDocument @3 (sequence :UInt64, digest :Text) -> (document :Document);
  claim @4 (request :ClaimRequest) -> (response :ClaimResponse);
  complete @5 (request :CompletionRequest) -> ();
  release @6 (key :Text, token :UInt64, claimant :UInt64) -> ();
}
