// What follows after an attempt to have a request run.

#ifndef OLEANDERTIDE_MESH_ATTEMPT_POLICY_H_
#define OLEANDERTIDE_MESH_ATTEMPT_POLICY_H_

#include <cstdint>

#include "core/time.h"
#include "mesh/configuration.h"
#include "mesh/outcome.h"

namespace oleandertide::mesh {

// What has happened to one request so far.
struct AttemptHistory {
  RequestKind kind = RequestKind::kNonIdempotent;
  // Most backend servers that the request may reach.
  int maximum_attempts = 1;
  // Backend servers that it reached or may have reached.
  int reached = 0;
  // Nodes that it was sent to.
  int hops = 0;
  // Time left until the answer is of no use.
  Duration remaining{};
  // Mean run time of such requests.
  Duration expected_run{};
};

enum class NextStep : std::uint8_t {
  // The outcome is the client's answer.
  kDeliver,
  // Another node may be tried.
  kTryAnother,
  // The same, if the retry budget allows: a backend server was reached before.
  kTryAnotherWithinBudget,
  kGiveUp,
};

// Decides by the outcome of the last attempt. A request that may have run is
// sent again only if its kind allows that, and only if a further run can end in
// time.
//
// Load pattern: backend servers fail, refuse or lose a share of the requests.
// Thread-safe.
NextStep DecideNextStep(const AttemptHistory& history, const Outcome& outcome);

// A request that is to be placed.
struct WaitingRequest {
  // Rank of the route; 0 is the most urgent.
  int priority = 0;
  Duration target_latency{};
  // Time since its arrival.
  Duration elapsed{};
  // Time left until the answer is of no use.
  Duration remaining{};
  // Mean run time of such requests.
  Duration expected_run{};
};

// Longest time that a request may wait for a slot.
// A queue that is as long as the target latency allows makes every answer late
// under overload, since run times differ; a shorter one keeps the slots as
// busy. Calls that backend servers make wait as long as their answer is of use:
// without it, the run that made the call fails and is repeated.
//
// Load pattern: a service whose slots are held for long by its own requests is
// called by runs of another one. Thread-safe.
Duration ChooseMaxWait(const WaitingRequest& request);

// Time for which a request may wait at the node that it is sent to. `hops` are
// the nodes that refused it. The first nodes are chosen because they seem to
// have a free slot; if that has changed meanwhile, another one is better than a
// place in the queue. Thread-safe.
Duration ChooseWaitAllowance(int hops, Duration expected_wait,
                             Duration wait_allowance);

// Time after which a client that was refused should come back: when there is
// likely to be room, spread so that those refused together do not return
// together. `unit` is a random number in [0, 1). Thread-safe.
Duration ChooseRetryAfter(Duration until_room, Duration expected_run,
                          double unit);

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_ATTEMPT_POLICY_H_
