@0xd1c7e05b94a2f36d;
# Payloads of coordination messages on limits of organisations. See
# organisations/limit_messages.h. Times are in microseconds.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("oleandertide::sidecar::wire");

struct TokenRequest {
  struct Ask {
    organisation @0 :Text;
    needed @1 :UInt32;
    spare @2 :UInt32;
    # Requests a second; 0 if no standing rate is wanted.
    demand @3 :Float32;
  }

  sequence @0 :UInt64;
  asks @1 :List(Ask);
}

struct TokenGrant {
  struct Item {
    tokens @0 :UInt32;
    isUnlimited @1 :Bool;
    untilTokenUs @2 :UInt32;
    retryAfterUs @3 :UInt32;
    # Requests a second.
    standingRate @4 :Float32;
    # From the sending of the node's request.
    standingForMs @5 :UInt32;
  }

  sequence @0 :UInt64;
  items @1 :List(Item);
}
