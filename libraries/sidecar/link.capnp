@0xb9a1f0c6d2e84a57;
# Messages between nodes. A frame is the length of the message and the length
# of the body that follows it (32 bits each, little endian), the message, and
# the body: that of a request or an answer. The highest bit of the first length
# tells that the message is compressed with Zstandard, the next one that it is in
# Cap'n Proto's packed encoding.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("oleandertide::sidecar::wire");

# First frame of the node that opened the connection.
struct Hello {
  node @0 :Text;
  # Where the node accepts connections of other nodes.
  address @1 :Text;
  dataCentre @2 :Text;
  # Service of the instance.
  service @3 :Text;
  # Bandwidth of the instance's link.
  linkMbps @4 :UInt32;
  # Whether the node that opened the connection reads packed messages.
  acceptsPacked @5 :Bool;
}

struct Members {
  members @0 :List(Hello);
}

struct Load {
  # Whether the backend server takes new requests.
  accepts @0 :Bool;
  slots @1 :UInt16;
  running @2 :UInt16;
  # Waiting requests of the three most urgent ranks, and of all others.
  waitingFirst @3 :UInt16;
  waitingSecond @8 :UInt16;
  waitingThird @9 :UInt16;
  waitingOthers @10 :UInt16;
  # Mean time for which a request holds a slot.
  meanRunUs @4 :UInt32;
  # Run times here in relation to those of all backend servers, in thousandths.
  slownessPermille @5 :UInt32;
  # Share of requests that the backend server refuses or fails, in thousandths.
  failurePermille @6 :UInt16;
  # Time that the instance's link needs for the answers that it has promised.
  linkWaitUs @7 :UInt32;
}

struct CrashReport {
  fingerprint @0 :UInt64;
  backendAddress @1 :Text;
  ageMs @2 :UInt32;
  isCompletion @3 :Bool;
  # Distinguishes the starts of a backend server.
  incarnation @4 :UInt64;
}

# What a node tells every node that opened a connection to it.
struct Status {
  service @0 :Text;
  load @1 :Load;
  configurationVersion @2 :UInt64;
  # Time since the store confirmed that no newer version existed.
  confirmationAgeMs @3 :UInt32;
  crashReports @4 :List(CrashReport);
  # The same by the store's clock; 0 if it never did.
  confirmedStoreTimeMs @5 :UInt64;
  # Whether the node reads packed messages.
  acceptsPacked @6 :Bool;
  # Version of the backend server's software.
  backendVersion @7 :Text;
  # The coordinator of the fleet as the node knows it; see
  # coordination/election.h.
  coordinator @8 :Coordinator;
  # Orders to roll out a version, while there are any.
  rollouts @9 :List(Rollout);
}

# An order and how far it is; see rollout/order.h.
struct Rollout {
  service @0 :Text;
  to @1 :Text;
  durationMs @2 :UInt32;
  # The store's version of the order's row, in storeEra.
  version @3 :UInt64;
  step @4 :UInt8;
  sharePermille @5 :UInt16;
  # A removed order has no effect once the store's clock shows this; 0 for an
  # order that exists.
  overAtMs @6 :UInt64;
  # Version of an earlier, unfinished order.
  withheld @7 :Text;
  # By the store's clock, when a node first knew the order.
  knownAtMs @8 :UInt64;
  # 0 if the sender does not know eras, or the store tells none.
  storeEra @9 :UInt64;
  # By the store's clock, when the step and the trial began.
  enteredAtMs @10 :UInt64;
  trialAtMs @11 :UInt64;
}

struct Coordinator {
  node @0 :Text;
  term @1 :UInt64;
  # When its lease ends by the store's clock.
  leaseEndMs @2 :UInt64;
}

# Between a node and the coordinator, either way.
struct CoordinationMessage {
  # Of the coordinator; a message of another term is dropped.
  term @0 :UInt64;
  subject @1 :UInt8;
  # Encoded by the subject's own module.
  payload @2 :Data;
}

struct Call {
  id @0 :UInt64;
  requestId @1 :Text;
  method @2 :Text;
  target @3 :Text;
  # Lines as in HTTP/1.1, each with its line end.
  headers @4 :Text;
  callerService @5 :Text;
  # Service that the receiver's backend server must belong to.
  service @6 :Text;
  # Time left until the answer is of no use.
  remainingMs @7 :UInt32;
  # Time for which the request may wait for a slot.
  waitAllowanceMs @8 :UInt32;
  # Mean run time of the route, 0 if unknown.
  expectedRunUs @9 :UInt32;
  fingerprint @10 :UInt64;
  priority @11 :UInt8;
  isRepeatable @12 :Bool;
  # Mean size of the route's answers, 0 if unknown.
  expectedBytes @13 :UInt32;
  # Organisation of the client.
  organisation @14 :Text;
  # Whether a backend server made the call while it ran another request.
  isBackendServerCall @15 :Bool;
  # Longest time that the link of the receiver may need for what is promised
  # before the answer, plus one; 0 if that does not matter.
  linkAllowanceMs @16 :UInt32;
}

struct Cancel {
  id @0 :UInt64;
}

# A part of a large body, sent before the answer that it belongs to.
struct BodyPart {
  id @0 :UInt64;
}

struct Answer {
  enum Outcome {
    completed @0;
    notRun @1;
    unknown @2;
  }
  id @0 :UInt64;
  outcome @1 :Outcome;
  # Why there is no answer of the backend server.
  reason @2 :UInt8;
  reachedBackend @3 :Bool;
  status @4 :UInt16;
  headers @5 :Text;
  runUs @6 :UInt32;
  load @7 :Load;
}

struct WeightedService {
  service @0 :Text;
  weight @1 :Float64;
}

struct Route {
  host @0 :Text;
  name @1 :Text;
  pathPrefix @2 :Text;
  kind @3 :UInt8;
  timeoutUs @4 :UInt64;
  targetLatencyUs @5 :UInt64;
  priority @6 :Int32;
  maximumAttempts @7 :Int32;
  services @8 :List(WeightedService);
  isPublic @9 :Bool;
}

struct Organisation {
  name @0 :Text;
  keys @1 :List(Text);
  hasPriority @2 :Bool;
  priority @3 :Int32;
  rate @4 :Float64;
  burst @5 :Float64;
}

struct RemovedRoute {
  host @0 :Text;
  pathPrefix @1 :Text;
}

struct Service {
  name @0 :Text;
  healthPath @1 :Text;
  maximumConnections @2 :UInt64;
}

struct Limits {
  maximumHeaderBytes @0 :UInt64;
  maximumBodyBytes @1 :UInt64;
  headerTimeoutUs @2 :UInt64;
  idleTimeoutUs @3 :UInt64;
}

# What turns the base version into the version; base 0 is the whole.
struct ConfigurationUpdate {
  baseVersion @0 :UInt64;
  version @1 :UInt64;
  digest @2 :UInt64;
  services @3 :List(Service);
  limits @4 :Limits;
  removed @5 :List(RemovedRoute);
  put @6 :List(Route);
  removedOrganisations @7 :List(Text);
  putOrganisations @8 :List(Organisation);
}

struct Frame {
  union {
    hello @0 :Hello;
    status @1 :Status;
    call @2 :Call;
    cancel @3 :Cancel;
    answer @4 :Answer;
    # Asks for what changed since this version; 0 asks for the whole.
    configurationRequest @5 :UInt64;
    configuration @6 :ConfigurationUpdate;
    # Nodes that the sender has learnt of.
    members @7 :Members;
    bodyPart @8 :BodyPart;
    # The sender ends and closes the link. Calls with a greater id than this one
    # were not taken and never will be; 0 if none was.
    goodbye @9 :UInt64;
    coordination @10 :CoordinationMessage;
  }
}
