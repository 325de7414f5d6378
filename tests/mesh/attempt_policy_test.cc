#include "mesh/attempt_policy.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "mesh/retry_allowance.h"

namespace oleandertide::mesh {
namespace {

using std::chrono::milliseconds;

AttemptHistory History(RequestKind kind, int reached) {
  return {.kind = kind,
          .maximum_attempts = 2,
          .reached = reached,
          .hops = 1,
          .remaining = milliseconds(500),
          .expected_run = milliseconds(100)};
}

const Outcome kLost = Unknown{Reason::kConnectionLost};
const Outcome kRefused = NotRun{Reason::kBackendServerRefused, true};
const Outcome kFull = NotRun{Reason::kNoRoom, false};
const Outcome kFailed = Completed{.status = 500};

// Guards against a booking that runs twice.
TEST_CASE("a request that may have run is repeated only if its kind allows") {
  REQUIRE(DecideNextStep(History(RequestKind::kNonIdempotent, 1), kLost) ==
          NextStep::kGiveUp);
  REQUIRE(DecideNextStep(History(RequestKind::kNonIdempotent, 1), kFailed) ==
          NextStep::kDeliver);
  REQUIRE(DecideNextStep(History(RequestKind::kIdempotent, 1), kLost) ==
          NextStep::kTryAnotherWithinBudget);
  REQUIRE(DecideNextStep(History(RequestKind::kDownload, 1), kFailed) ==
          NextStep::kTryAnotherWithinBudget);
}

// Guards against sending a request to more backend servers than its route
// allows.
TEST_CASE("the attempts of a route are not exceeded") {
  REQUIRE(DecideNextStep(History(RequestKind::kIdempotent, 2), kLost) ==
          NextStep::kGiveUp);
  REQUIRE(DecideNextStep(History(RequestKind::kIdempotent, 2), kRefused) ==
          NextStep::kGiveUp);
  REQUIRE(DecideNextStep(History(RequestKind::kIdempotent, 2), kFailed) ==
          NextStep::kDeliver);
}

// Guards against spending the retry budget on requests that no backend server
// received.
TEST_CASE("only what reached a backend server draws on the budget") {
  REQUIRE(DecideNextStep(History(RequestKind::kNonIdempotent, 0), kFull) ==
          NextStep::kTryAnother);
  REQUIRE(DecideNextStep(History(RequestKind::kNonIdempotent, 1), kRefused) ==
          NextStep::kTryAnotherWithinBudget);
}

// Guards against repeats that cannot end before the deadline.
TEST_CASE("without time for another run, the request is given up") {
  AttemptHistory history = History(RequestKind::kIdempotent, 1);
  history.remaining = milliseconds(40);
  REQUIRE(DecideNextStep(history, kLost) == NextStep::kGiveUp);
  REQUIRE(DecideNextStep(history, kFailed) == NextStep::kDeliver);
}

// Guards against waiting in the queue of a node that only seemed to have a free
// slot.
TEST_CASE("the first nodes run a request at once or refuse it") {
  REQUIRE(ChooseWaitAllowance(0, milliseconds(0), milliseconds(200)) <
          milliseconds(50));
  REQUIRE(ChooseWaitAllowance(2, milliseconds(0), milliseconds(200)) ==
          milliseconds(200));
  REQUIRE(ChooseWaitAllowance(0, milliseconds(0), milliseconds(5)) ==
          milliseconds(5));
}

// Guards against clients that all retry at the same time.
TEST_CASE("retry times of refused clients are spread") {
  const auto first = ChooseRetryAfter(milliseconds(50), milliseconds(100), 0);
  const auto last = ChooseRetryAfter(milliseconds(50), milliseconds(100), 0.99);
  REQUIRE(first >= milliseconds(50));
  REQUIRE(last - first > milliseconds(90));
}

// Guards against nodes that together exceed the fleet's retry budget: 0.2
// repeats for each request and 64 in 10 s, over 12 nodes.
TEST_CASE("all nodes that repeat as they may stay within the fleet's budget") {
  constexpr int kNodes = 12;
  constexpr int kRequestsPerNode = 500;
  int repeats = 0;
  int repeated_runs = 0;
  for (int node = 0; node < kNodes; ++node) {
    RetryAllowance allowance(
        {.ratio = 0.14, .run_ratio = 0.04, .max_saved_retries = 3});
    for (int i = 0; i < kRequestsPerNode; ++i) {
      allowance.RecordRequest("booking");
      // Each repeated run repeats its call, which is one request for `rooms`.
      while (allowance.TryTake("booking", RetryAllowance::RetryKind::kRun)) {
        ++repeated_runs;
      }
      allowance.RecordRequest("rooms");
      while (allowance.TryTake("rooms", RetryAllowance::RetryKind::kRefused)) {
        ++repeats;
      }
    }
  }
  REQUIRE(repeated_runs > 0);
  REQUIRE(repeats > repeated_runs);
  REQUIRE(repeats + repeated_runs <= 0.2 * kNodes * kRequestsPerNode + 64);
}

// Guards against a request that a stopping node gives up because its balance is
// used up, although its first run was cut and time is left.
TEST_CASE("a node that stops has a reserve of repeats") {
  RetryAllowance allowance(
      {.ratio = 0.14, .run_ratio = 0.04, .max_saved_retries = 3});
  allowance.RecordRequest("booking");
  const auto take_all = [&](std::string_view service) {
    int taken = 0;
    while (allowance.TryTake(service, RetryAllowance::RetryKind::kRun)) ++taken;
    return taken;
  };
  REQUIRE(take_all("booking") == 3);
  allowance.AddReserve(2);
  REQUIRE(take_all("booking") == 2);
  REQUIRE(take_all("rooms") == 5);
}

}  // namespace
}  // namespace oleandertide::mesh
