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
TEST_CASE("a late heartbeat does not cancel a departure") {
  LocalBackend backend = MakeBackend();
  REQUIRE(backend.Apply(MakeHeartbeat(3), kStart) == Effect::kReplaced);
  REQUIRE(backend.Apply(MakeHeartbeat(5, true), kStart) == Effect::kChanged);
  REQUIRE(backend.Apply(MakeHeartbeat(4), kStart) == Effect::kStale);
  REQUIRE(backend.Apply(MakeHeartbeat(6), kStart) == Effect::kRefreshed);
  REQUIRE_FALSE(backend.is_accepting());
}

// Guards against requests that reach a backend server long after its departure
// was acknowledged.
TEST_CASE("accepted requests are dispatched only until the drain fence ends") {
  LocalBackend backend = MakeBackend();
  backend.Apply(MakeHeartbeat(1), kStart);
  backend.Apply(MakeHeartbeat(2, true), kStart);
  REQUIRE(backend.is_dispatch_allowed(kStart + milliseconds(1499)));
  REQUIRE_FALSE(backend.is_dispatch_allowed(kStart + milliseconds(1500)));
  // A repeated draining heartbeat does not extend the fence.
  backend.Apply(MakeHeartbeat(3, true), kStart + milliseconds(1400));
  REQUIRE_FALSE(backend.is_dispatch_allowed(kStart + milliseconds(1500)));
}

// Guards against a backend server that is used after its DELETE because a
// heartbeat was still in transit.
TEST_CASE("late heartbeats do not reactivate a departed backend server") {
  LocalBackend backend = MakeBackend();
  backend.Apply(MakeHeartbeat(1), kStart);
  REQUIRE(backend.ApplyDeparture({.id = "i-1", .started_at_ms = 1000},
                                 kStart) == Effect::kChanged);
  REQUIRE(backend.Apply(MakeHeartbeat(9), kStart) == Effect::kStale);
  REQUIRE_FALSE(backend.is_accepting());
}

// Guards against a new incarnation that is ignored because its sequence
// numbers restart, and against late messages of the old incarnation that change
// the state of the new one.
TEST_CASE("a later incarnation with the same id replaces the earlier one") {
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

// Returns a heartbeat of a backend server that started after the one of
// MakeHeartbeat(), but reports an earlier start because the clock was set back.
Announcement MakeHeartbeatAfterClockStep(std::string id,
                                         std::uint64_t sequence) {
  Announcement announcement = MakeHeartbeat(sequence);
  announcement.id = std::move(id);
  announcement.started_at_ms = 500;
  return announcement;
}

// Guards against a backend server that is never used because the clock was set
// back before it started, so that its heartbeats look older than those of its
// predecessor.
TEST_CASE("a health check determines which backend server is running") {
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

// Guards against a backend server that is never used because the clock was set
// back before it restarted with the same id: a health check cannot tell the two
// incarnations apart. Also guards against a departure that is acknowledged but
// has no effect.
TEST_CASE(
    "heartbeats over two seconds replace an incarnation that sends none") {
  LocalBackend backend = MakeBackend();
  backend.Apply(MakeHeartbeat(50), kStart);
  REQUIRE(backend.ApplyDeparture({.id = "i-1", .started_at_ms = 400}, kStart) ==
          Effect::kAmbiguous);
  REQUIRE(backend.Apply(MakeHeartbeatAfterClockStep("i-1", 1), kStart) ==
          Effect::kAmbiguous);
  REQUIRE_FALSE(backend.needs_verification());
  // Delayed heartbeats arrive in one burst.
  for (std::uint64_t sequence = 2; sequence < 9; ++sequence) {
    REQUIRE(backend.Apply(MakeHeartbeatAfterClockStep("i-1", sequence),
                          kStart) == Effect::kAmbiguous);
  }
  REQUIRE(backend.Apply(MakeHeartbeatAfterClockStep("i-1", 9),
                        kStart + seconds(2)) == Effect::kReplaced);
  REQUIRE(backend.is_accepting());
  // The replaced incarnation was still running.
  REQUIRE(backend.Apply(MakeHeartbeat(51), kStart + seconds(2)) ==
          Effect::kReplaced);
}

// Guards against late heartbeats of an earlier incarnation that replace the
// running one.
TEST_CASE(
    "an incarnation that sends heartbeats is not replaced by an older one") {
  LocalBackend backend = MakeBackend();
  for (std::uint64_t i = 1; i < 20; ++i) {
    const MonotonicTime now = kStart + seconds(i);
    REQUIRE(backend.Apply(MakeHeartbeat(i), now) != Effect::kStale);
    REQUIRE(backend.Apply(MakeHeartbeatAfterClockStep("i-1", i), now) ==
            Effect::kAmbiguous);
  }
}

// Guards against a backend server that is used after its departure because its
// first heartbeat arrives after the departure notice.
TEST_CASE("a first heartbeat after the departure notice is ignored") {
  LocalBackend backend = MakeBackend();
  backend.ApplyDeparture({.id = "i-1", .started_at_ms = 1000}, kStart);
  REQUIRE(backend.Apply(MakeHeartbeat(1), kStart) == Effect::kStale);
  REQUIRE_FALSE(backend.is_accepting());
}

// Guards against a restarted node that uses a backend server whose departure it
// had acknowledged before.
TEST_CASE("a restarted node does not use an unverified backend server") {
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

// Guards against a restarted node that never uses its backend server because
// the health checks of that server fail.
TEST_CASE("heartbeats over two seconds verify without a health check") {
  LocalBackend backend = MakeBackend(true);
  backend.Apply(MakeHeartbeat(1), kStart);
  backend.RecordVerification("i-1", false, kStart);
  // Delayed heartbeats arrive in one burst.
  backend.Apply(MakeHeartbeat(2), kStart);
  backend.Apply(MakeHeartbeat(3), kStart);
  REQUIRE_FALSE(backend.is_accepting());
  REQUIRE(backend.Apply(MakeHeartbeat(4), kStart + seconds(2)) ==
          Effect::kChanged);
  REQUIRE(backend.is_accepting());
}

// Guards against a crashed backend server that is never used again.
TEST_CASE("a heartbeat returns a backend server that was down to service") {
  LocalBackend backend = MakeBackend();
  backend.Apply(MakeHeartbeat(1), kStart);
  backend.RecordDown();
  REQUIRE_FALSE(backend.is_dispatch_allowed(kStart));
  REQUIRE(backend.Apply(MakeHeartbeat(2), kStart) == Effect::kChanged);
  REQUIRE(backend.is_accepting());
}

// Guards against an order of messages after which an incarnation gets requests
// again although its departure was acknowledged. Ambiguous departures are not
// acknowledged.
TEST_CASE("a departed incarnation accepts no requests in any message order") {
  rc::prop("an acknowledged departure is final for the incarnation", [] {
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
