// Retry decisions, queueing limits and retry times of requests.

#ifndef OLEANDERTIDE_MESH_ATTEMPT_POLICY_H_
#define OLEANDERTIDE_MESH_ATTEMPT_POLICY_H_

#include <cstdint>

#include "core/time.h"
#include "mesh/configuration.h"
#include "mesh/outcome.h"

namespace oleandertide::mesh {

// Attempts made so far for one request.
struct AttemptHistory {
  RequestKind kind = RequestKind::kNonIdempotent;
  // Maximum number of backend servers that the request may reach.
  int maximum_attempts = 1;
  // Number of backend servers that it reached or may have reached.
  int reached = 0;
  // Number of nodes that it was sent to, without those that refused because
  // they are stopping: in a rolling restart several may do so at a time.
  int hops = 0;
  // Time left until the deadline of the request.
  Duration remaining{};
  // Mean run time of the route's requests.
  Duration expected_run{};
};

enum class NextStep : std::uint8_t {
  // Send the outcome to the client.
  kDeliver,
  // Send the request to another node.
  kTryAnother,
  // The same, if the retry budget allows it: the request has already reached a
  // backend server.
  kTryAnotherWithinBudget,
  kGiveUp,
};

// Decides from the outcome of the last attempt. A request that may have run is
// sent again only if its kind allows it and another run can finish before the
// deadline.
//
// Load pattern: backend servers fail, refuse or lose a share of the requests.
// Thread-safe.
NextStep DecideNextStep(const AttemptHistory& history, const Outcome& outcome);

// A request for which a node is to be chosen.
struct WaitingRequest {
  // Rank of the route; 0 is the most urgent.
  int priority = 0;
  // Whether a backend server made the call while it ran another request.
  bool is_backend_server_call = false;
  Duration target_latency{};
  // Time since its arrival.
  Duration elapsed{};
  // Time left until the deadline of the request.
  Duration remaining{};
  // Mean run time of the route's requests.
  Duration expected_run{};
};

// Returns the maximum time that a request may wait for a slot. Under overload,
// a queue as long as the target latency makes every answer late, since run
// times vary; a shorter queue keeps the slots just as busy. Calls that backend
// servers make may wait until too little time for their run remains before the
// deadline: without the answer, the run that made the call fails and is
// repeated.
//
// Load pattern: runs of one service call another service whose own long
// requests occupy its slots. Thread-safe.
Duration ChooseMaxWait(const WaitingRequest& request);

// Returns the time that a request may wait at the node that it is sent to.
// `hops` is the number of nodes that refused it. The first nodes are chosen
// because they seem to have a free slot; if the slot is taken meanwhile,
// another node is better than waiting in the queue. Thread-safe.
Duration ChooseWaitAllowance(int hops, Duration expected_wait,
                             Duration wait_allowance);

// Returns the time after which a refused client should retry: when a slot is
// expected to be free, plus jitter of up to one run time, since clients refused
// together would otherwise retry together. `unit` is a random number in [0, 1).
// Thread-safe.
Duration ChooseRetryAfter(Duration until_room, Duration expected_run,
                          double unit);

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_ATTEMPT_POLICY_H_
