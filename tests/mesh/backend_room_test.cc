#include "mesh/backend_room.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace oleandertide::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(100)};
constexpr Duration kRun = milliseconds(100);

BackendRoom MakeRoom(int slots) {
  BackendRoom room;
  room.set_announced(slots);
  return room;
}

bool Refuse(BackendRoom& room, MonotonicTime now, int in_hand,
            Duration elapsed = milliseconds(1)) {
  return room.RecordRefusal(
      now, {.in_hand = in_hand, .elapsed = elapsed, .run_time = kRun});
}

// Both refusals that it takes without a trial.
void RefuseTwice(BackendRoom& room, MonotonicTime now, int in_hand) {
  Refuse(room, now, in_hand);
  Refuse(room, now, in_hand);
}

// A cold or new backend server must get work at once: without a refusal the
// announced slots are used.
TEST_CASE("backend room starts with the announced slots", "[mesh]") {
  BackendRoom room = MakeRoom(12);
  CHECK(room.limit(kStart) == 12);
  CHECK(room.safe_limit(kStart) >= 12);
}

TEST_CASE("backend room shrinks when the backend server sheds", "[mesh]") {
  BackendRoom room = MakeRoom(12);
  RefuseTwice(room, kStart, 9);
  CHECK(room.limit(kStart) == 8);
  // Others refused by the same full moment report fewer in hand.
  Refuse(room, kStart + milliseconds(1), 6);
  CHECK(room.limit(kStart + milliseconds(1)) == 8);
}

// A lost answer also looks like a reset; it must not close a backend server.
TEST_CASE("backend room ignores a reset at few requests", "[mesh]") {
  BackendRoom room = MakeRoom(12);
  CHECK_FALSE(Refuse(room, kStart, 3));
  CHECK(room.limit(kStart) == 12);
  RefuseTwice(room, kStart, 10);
  CHECK(room.limit(kStart) == 9);
}

// A connection that ends in the middle of a run was not reset by a full backend
// server.
TEST_CASE("backend room ignores a reset during a run", "[mesh]") {
  BackendRoom room = MakeRoom(12);
  CHECK_FALSE(Refuse(room, kStart, 12, milliseconds(60)));
  CHECK(room.limit(kStart) == 12);
}

TEST_CASE("backend room recovers within a second", "[mesh]") {
  BackendRoom room = MakeRoom(12);
  RefuseTwice(room, kStart, 6);
  CHECK(room.limit(kStart + milliseconds(190)) == 5);
  CHECK(room.limit(kStart + milliseconds(200)) == 6);
  CHECK(room.limit(kStart + seconds(1)) == 12);
}

// A backend server that takes 8 although it announces 12 must not be sent a
// ninth request in each interval.
TEST_CASE("backend room tries less often after repeated refusals", "[mesh]") {
  BackendRoom room = MakeRoom(12);
  int refused = 0;
  for (MonotonicTime now = kStart; now < kStart + seconds(60);
       now += milliseconds(5)) {
    const int limit = room.limit(now);
    if (limit <= 8) continue;
    ++refused;
    Refuse(room, now, 9);
    if (refused >= 2) REQUIRE(room.limit(now) == 8);
  }
  CHECK(refused <= 20);
}

// A full backend server that resets the connection leaves unknown whether the
// request ran, so a request that must not run twice is not the trial.
TEST_CASE("backend room is safe only where a request was answered", "[mesh]") {
  BackendRoom room = MakeRoom(12);
  RefuseTwice(room, kStart, 9);
  const MonotonicTime later = kStart + milliseconds(200);
  REQUIRE(room.limit(later) == 9);
  CHECK(room.safe_limit(later) >= 8);
  CHECK(room.safe_limit(later) < 9);
  room.RecordAnswer(9);
  CHECK(room.safe_limit(later) >= 9);
}

TEST_CASE("backend room becomes safe without a trial after a while", "[mesh]") {
  BackendRoom room = MakeRoom(12);
  RefuseTwice(room, kStart, 9);
  CHECK(room.safe_limit(kStart + seconds(3)) < 12);
  CHECK(room.safe_limit(kStart + seconds(4)) >= 12);
}

// A backend server that refuses a tenth of all requests is not full; nearly all
// of its slots must stay in use.
TEST_CASE("backend room stays open to a backend server that refuses at random",
          "[mesh]") {
  BackendRoom room = MakeRoom(12);
  double slots = 0;
  int steps = 0;
  for (MonotonicTime now = kStart; now < kStart + seconds(60);
       now += milliseconds(9)) {
    const int limit = room.limit(now);
    slots += limit;
    if (++steps % 10 == 0 || steps % 93 == 0) {
      Refuse(room, now, limit);
    } else {
      room.RecordAnswer(limit);
    }
  }
  CHECK(slots / steps > 11);
}

TEST_CASE("backend room never exceeds the announced slots", "[mesh]") {
  BackendRoom room = MakeRoom(12);
  RefuseTwice(room, kStart, 12);
  room.set_announced(6);
  CHECK(room.limit(kStart + seconds(20)) == 6);
  room.set_announced(0);
  CHECK(room.limit(kStart + seconds(20)) == 0);
}

}  // namespace
}  // namespace oleandertide::mesh
