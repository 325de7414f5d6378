@0xd3b7a1945c2e60f8;
# Messages about orders to roll out a version, between a node and the
# coordinator; see rollout/decider.h.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("oleandertide::sidecar::rollout_wire");

struct Outcome {
  route @0 :Text;
  # Node beside the backend server.
  server @1 :Text;
  isNew @2 :Bool;
  total @3 :UInt32;
  failed @4 :UInt32;
  slow @5 :UInt32;
}

# Total of one window, see rollout/outcome_history.h.
struct Counter {
  # Of the report's names.
  route @0 :UInt16;
  server @1 :UInt16;
  isNew @2 :Bool;
  window @3 :UInt64;
  total @4 :UInt32;
  failed @5 :UInt32;
  slow @6 :UInt32;
}

struct OrderReport {
  service @0 :Text;
  orderVersion @1 :UInt64;
  step @2 :UInt8;
  hasBackend @3 :Bool;
  backendVersion @4 :Text;
  accepts @5 :Bool;
  isEmpty @6 :Bool;
  slots @7 :UInt32;
  # Since the last report.
  outcomes @8 :List(Outcome);
  # Of orderVersion; 0 if the sender does not know eras, or the store tells none.
  orderEra @9 :UInt64;
  # Whether the counters are all from firstWindow on; the outcomes then repeat
  # what they tell, for coordinators that do not read them.
  hasTotals @10 :Bool;
  firstWindow @11 :UInt64;
  names @12 :List(Text);
  counters @13 :List(Counter);
}

# From the coordinator; see rollout/trial_leases.h.
struct TrialRenewal {
  service @0 :Text;
  orderVersion @1 :UInt64;
  orderEra @2 :UInt64;
  untilMs @3 :UInt64;
}

struct TrialRenewals {
  renewals @0 :List(TrialRenewal);
}

struct Report {
  orders @0 :List(OrderReport);
}
