#include "mesh/local_backend.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <utility>
#include <vector>

namespace oleandertide::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Effect = LocalBackend::Effect;

constexpr MonotonicTime kStart{seconds(100)};

Announcement MakeHeartbeat(std::uint64_t sequence, bool is_draining = false) {
  return {.id = "i-1",
          .service = "booking",
          .address = "10.0.0.1:80",
          .is_draining = is_draining,
          .slots = 12,
          .started_at_ms = 1000,
          .sequence = sequence};
}

LocalBackend MakeBackend(bool requires_verification = false) {
  return LocalBackend({.requires_verification = requires_verification,
                       .drain_fence = milliseconds(1500)});
}

// Guards against a late "ready" heartbeat that cancels an acknowledged
// departure.
TEST_CASE("a late heartbeat does not take back a departure") {
  LocalBackend backend = MakeBackend();
  REQUIRE(backend.Apply(MakeHeartbeat(3), kStart) == Effect::kReplaced);
  REQUIRE(backend.Apply(MakeHeartbeat(5, true), kStart) == Effect::kChanged);
  REQUIRE(backend.Apply(MakeHeartbeat(4), kStart) == Effect::kStale);
  REQUIRE(backend.Apply(MakeHeartbeat(6), kStart) == Effect::kRefreshed);
  REQUIRE_FALSE(backend.is_accepting());
}

// Guards against requests that reach a backend server long after its departure
// was acknowledged.
TEST_CASE("waiting requests are handed over until the drain fence only") {
  LocalBackend backend = MakeBackend();
  backend.Apply(MakeHeartbeat(1), kStart);
  backend.Apply(MakeHeartbeat(2, true), kStart);
  REQUIRE(backend.is_dispatch_allowed(kStart + milliseconds(1499)));
  REQUIRE_FALSE(backend.is_dispatch_allowed(kStart + milliseconds(1500)));
  // A repeated notice does not extend the fence.
  backend.Apply(MakeHeartbeat(3, true), kStart + milliseconds(1400));
  REQUIRE_FALSE(backend.is_dispatch_allowed(kStart + milliseconds(1500)));
}

// Guards against a backend server that is used after its DELETE because a
// heartbeat was still in transit.
TEST_CASE("a departed backend server is not revived by its own heartbeats") {
  LocalBackend backend = MakeBackend();
  backend.Apply(MakeHeartbeat(1), kStart);
  REQUIRE(backend.ApplyDeparture({.id = "i-1", .started_at_ms = 1000},
                                 kStart) == Effect::kChanged);
  REQUIRE(backend.Apply(MakeHeartbeat(9), kStart) == Effect::kStale);
  REQUIRE_FALSE(backend.is_accepting());
}

// Guards against a new incarnation that is ignored because its sequence
// numbers restart, and against the last messages of the old one.
TEST_CASE("a later incarnation with the same id takes the place") {
  LocalBackend backend = MakeBackend();
  backend.Apply(MakeHeartbeat(50), kStart);
  backend.ApplyDeparture({.id = "i-1", .started_at_ms = 1000}, kStart);
  Announcement restarted = MakeHeartbeat(1);
  restarted.started_at_ms = 2000;
  REQUIRE(backend.Apply(restarted, kStart) == Effect::kReplaced);
  REQUIRE(backend.is_accepting());
  REQUIRE(backend.ApplyDeparture({.id = "i-1", .started_at_ms = 1000},
                                 kStart) == Effect::kAmbiguous);
  REQUIRE(backend.Apply(MakeHeartbeat(60), kStart) == Effect::kStale);
  REQUIRE(backend.is_accepting());
}

// A backend server that has started after `MakeHeartbeat` with a clock that was
// set back.
Announcement MakeHeartbeatAfterClockStep(std::string id,
                                         std::uint64_t sequence) {
  Announcement announcement = MakeHeartbeat(sequence);
  announcement.id = std::move(id);
  announcement.started_at_ms = 500;
  return announcement;
}

// Guards against a backend server that is not used, for all its life, because
// the clock was set back before it started.
TEST_CASE("a health check tells who lives at the address") {
  LocalBackend backend = MakeBackend();
  backend.Apply(MakeHeartbeat(50), kStart);
  REQUIRE_FALSE(backend.needs_verification());
  REQUIRE(backend.Apply(MakeHeartbeatAfterClockStep("i-2", 1), kStart) ==
          Effect::kAmbiguous);
  REQUIRE(backend.needs_verification());
  REQUIRE_FALSE(backend.RecordVerification("i-1", true, kStart));
  REQUIRE(backend.announcement().id == "i-1");
  REQUIRE(backend.Apply(MakeHeartbeatAfterClockStep("i-2", 2), kStart) ==
          Effect::kAmbiguous);
  REQUIRE(backend.RecordVerification("i-2", true, kStart));
  REQUIRE(backend.announcement().id == "i-2");
  REQUIRE(backend.is_accepting());
}

// Guards against the same where the id does not tell the incarnations apart,
// and against departures that are acknowledged and not obeyed.
TEST_CASE("heartbeats over some time replace an incarnation that is silent") {
  LocalBackend backend = MakeBackend();
  backend.Apply(MakeHeartbeat(50), kStart);
  REQUIRE(backend.ApplyDeparture({.id = "i-1", .started_at_ms = 400}, kStart) ==
          Effect::kAmbiguous);
  REQUIRE(backend.Apply(MakeHeartbeatAfterClockStep("i-1", 1), kStart) ==
          Effect::kAmbiguous);
  REQUIRE_FALSE(backend.needs_verification());
  // Late heartbeats come all at once.
  for (std::uint64_t sequence = 2; sequence < 9; ++sequence) {
    REQUIRE(backend.Apply(MakeHeartbeatAfterClockStep("i-1", sequence),
                          kStart) == Effect::kAmbiguous);
  }
  REQUIRE(backend.Apply(MakeHeartbeatAfterClockStep("i-1", 9),
                        kStart + seconds(2)) == Effect::kReplaced);
  REQUIRE(backend.is_accepting());
  // The previously known incarnation was still alive.
  REQUIRE(backend.Apply(MakeHeartbeat(51), kStart + seconds(2)) ==
          Effect::kReplaced);
}

// Guards against late heartbeats that replace a running incarnation.
TEST_CASE("a living incarnation is not replaced by an older one") {
  LocalBackend backend = MakeBackend();
  for (std::uint64_t i = 1; i < 20; ++i) {
    const MonotonicTime now = kStart + seconds(i);
    REQUIRE(backend.Apply(MakeHeartbeat(i), now) != Effect::kStale);
    REQUIRE(backend.Apply(MakeHeartbeatAfterClockStep("i-1", i), now) ==
            Effect::kAmbiguous);
  }
}

// Guards against a first heartbeat that arrives after the notice of departure.
TEST_CASE("a backend server that has departed is not taken up later") {
  LocalBackend backend = MakeBackend();
  backend.ApplyDeparture({.id = "i-1", .started_at_ms = 1000}, kStart);
  REQUIRE(backend.Apply(MakeHeartbeat(1), kStart) == Effect::kStale);
  REQUIRE_FALSE(backend.is_accepting());
}

// Guards against a restarted node that uses a backend server whose departure it
// had acknowledged before.
TEST_CASE("a restarted node verifies the backend server before use") {
  LocalBackend backend = MakeBackend(true);
  backend.Apply(MakeHeartbeat(1), kStart);
  REQUIRE(backend.standing() == BackendStanding::kUnverified);
  REQUIRE_FALSE(backend.is_accepting());
  backend.RecordVerification("i-2", true, kStart);
  REQUIRE_FALSE(backend.is_accepting());
  backend.RecordVerification("i-1", false, kStart);
  REQUIRE_FALSE(backend.is_accepting());
  backend.RecordVerification("i-1", true, kStart);
  REQUIRE(backend.is_accepting());
}

// Guards against a restarted node that does not use its backend server while
// that one's health answers are false.
TEST_CASE("heartbeats over some time replace a health check") {
  LocalBackend backend = MakeBackend(true);
  backend.Apply(MakeHeartbeat(1), kStart);
  backend.RecordVerification("i-1", false, kStart);
  // Late heartbeats come all at once.
  backend.Apply(MakeHeartbeat(2), kStart);
  backend.Apply(MakeHeartbeat(3), kStart);
  REQUIRE_FALSE(backend.is_accepting());
  REQUIRE(backend.Apply(MakeHeartbeat(4), kStart + seconds(2)) ==
          Effect::kChanged);
  REQUIRE(backend.is_accepting());
}

// Guards against a crashed backend server that is never used again.
TEST_CASE("a heartbeat revives a backend server that was down") {
  LocalBackend backend = MakeBackend();
  backend.Apply(MakeHeartbeat(1), kStart);
  backend.RecordDown();
  REQUIRE_FALSE(backend.is_dispatch_allowed(kStart));
  REQUIRE(backend.Apply(MakeHeartbeat(2), kStart) == Effect::kChanged);
  REQUIRE(backend.is_accepting());
}

// Guards against an order of messages that lets requests through after a
// departure of the same incarnation was acknowledged. Doubtful notices are not.
TEST_CASE("no order of messages opens a fence again") {
  rc::prop("after an acknowledged departure, the incarnation stays away", [] {
    LocalBackend backend = MakeBackend(*rc::gen::arbitrary<bool>());
    MonotonicTime now = kStart;
    std::set<std::pair<std::string, std::int64_t>> departed;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 900));
      Announcement heartbeat =
          MakeHeartbeat(*rc::gen::inRange<std::uint64_t>(1, 20),
                        *rc::gen::inRange(0, 4) == 0);
      heartbeat.id = *rc::gen::element<std::string>("i-1", "i-2");
      heartbeat.started_at_ms = *rc::gen::inRange<std::int64_t>(1, 4) * 1000;
      const int action = *rc::gen::inRange(0, 6);
      if (action == 0) {
        const Effect effect = backend.ApplyDeparture(
            {.id = heartbeat.id, .started_at_ms = heartbeat.started_at_ms},
            now);
        if (effect != Effect::kStale && effect != Effect::kAmbiguous) {
          const Announcement& current = backend.announcement();
          departed.emplace(current.id, current.started_at_ms);
        }
      } else if (action == 1) {
        backend.RecordDown();
      } else if (action == 2) {
        backend.RecordVerification(heartbeat.id, true, now);
      } else {
        const Effect effect = backend.Apply(heartbeat, now);
        if (effect != Effect::kStale && effect != Effect::kAmbiguous &&
            heartbeat.is_draining) {
          departed.emplace(heartbeat.id, heartbeat.started_at_ms);
        }
      }
      if (backend.is_accepting()) {
        const Announcement& current = backend.announcement();
        RC_ASSERT(!departed.contains({current.id, current.started_at_ms}));
      }
    }
  });
}

}  // namespace
}  // namespace oleandertide::mesh
