#include "mesh/stop_policy.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace oleandertide::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kBegin{seconds(1000)};
constexpr Duration kTarget = milliseconds(800);
constexpr Duration kLimit = milliseconds(2500);

StopPolicy Policy() {
  return StopPolicy(kBegin, {.announce_time = milliseconds(2500),
                             .deadline = milliseconds(5500)});
}

// Guards against requests that are taken late and cut by the end of the node.
TEST_CASE("a late request is taken only if it ends before the node") {
  const StopPolicy policy = Policy();
  for (int at = 2501; at < 7000; ++at) {
    const MonotonicTime arrived = kBegin + milliseconds(at);
    const auto deadline =
        policy.ChooseDeadline(arrived, arrived, kLimit, kTarget);
    REQUIRE(deadline.has_value() ==
            (arrived + kLimit <= policy.last_deadline()));
    if (deadline) REQUIRE(*deadline == arrived + kLimit);
  }
}

// Guards against refusing what clients send before they learn of the stop.
TEST_CASE("a request of the announce time is taken with what time is left") {
  const StopPolicy policy = Policy();
  constexpr Duration kLongLimit = seconds(8);
  REQUIRE(policy.ChooseDeadline(kBegin, kBegin, kLongLimit, kTarget) ==
          policy.last_deadline());
  REQUIRE(policy.ChooseDeadline(kBegin, kBegin + milliseconds(2500), kLongLimit,
                                kTarget) == policy.last_deadline());
  REQUIRE(policy.ChooseDeadline(kBegin, kBegin, kLimit, kTarget) ==
          kBegin + kLimit);
}

// Guards against a wait that can only end in a failure.
TEST_CASE("a request whose target cannot be met is refused") {
  REQUIRE_FALSE(Policy().ChooseDeadline(kBegin, kBegin + seconds(2), seconds(8),
                                        milliseconds(3300)));
}

// Guards against a request that waited behind others on its connection and is
// taken by the time of its arrival.
TEST_CASE("a request that is handled late is taken as a late one") {
  const MonotonicTime arrived = kBegin + seconds(2);
  REQUIRE(Policy().ChooseDeadline(arrived, arrived, seconds(8), kTarget));
  REQUIRE_FALSE(Policy().ChooseDeadline(arrived, kBegin + seconds(3),
                                        seconds(8), kTarget));
}

// Guards against runs that are cut by the end of the node beside their backend
// server, also while their answers are on the way.
TEST_CASE("a run begins only if its time limit ends before the node") {
  const StopPolicy policy = Policy();
  // The own clients' last deadline, with the time from node to receiver.
  REQUIRE(policy.MayRun(policy.last_deadline() + milliseconds(50)));
  REQUIRE(policy.MayRun(kBegin + milliseconds(5400)));
  REQUIRE_FALSE(policy.MayRun(kBegin + milliseconds(5401)));
}

}  // namespace
}  // namespace oleandertide::mesh
