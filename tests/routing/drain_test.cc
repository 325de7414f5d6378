#include "routing/drain.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace oleandertide::routing {
namespace {

MonotonicTime At(int seconds) {
  return MonotonicTime(std::chrono::seconds(seconds));
}

// Guards against a node that stops before other nodes know that it is draining,
// or while requests are in flight.
TEST_CASE("drain announces, finishes work in flight and stops") {
  Drain drain;
  REQUIRE(drain.Advance(At(1), 0) == DrainState::kServing);
  REQUIRE(drain.Signal(At(10)) == DrainState::kAnnouncing);
  REQUIRE(drain.Advance(At(11), 0) == DrainState::kAnnouncing);
  REQUIRE(drain.is_accepting());
  REQUIRE(drain.next_change() == At(12));
  REQUIRE(drain.Advance(At(12), 3) == DrainState::kFinishing);
  REQUIRE_FALSE(drain.is_accepting());
  REQUIRE(drain.Advance(At(20), 1) == DrainState::kFinishing);
  REQUIRE(drain.Advance(At(21), 0) == DrainState::kStopped);
  REQUIRE(drain.stop_cause() == StopCause::kFinished);
}

// Guards against a process that never exits because a request does not end.
TEST_CASE("drain ends at its deadline or at a second signal") {
  Drain late;
  late.Signal(At(10));
  REQUIRE(late.Advance(At(39), 1) == DrainState::kFinishing);
  REQUIRE(late.next_change() == At(40));
  REQUIRE(late.Advance(At(40), 1) == DrainState::kStopped);
  REQUIRE(late.stop_cause() == StopCause::kDeadline);

  Drain urgent;
  urgent.Signal(At(10));
  REQUIRE(urgent.Signal(At(11)) == DrainState::kStopped);
  REQUIRE(urgent.stop_cause() == StopCause::kSecondSignal);
  REQUIRE(urgent.Advance(At(12), 4) == DrainState::kStopped);
}

}  // namespace
}  // namespace oleandertide::routing
