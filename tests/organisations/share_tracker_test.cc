#include "organisations/share_tracker.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace oleandertide::organisations {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(100)};

// Records 10 s of requests of 90 ms; organisation i sends its weight in
// requests a second, and organisation 1 `factor` times as many.
ShareTracker Record(int factor) {
  ShareTracker tracker;
  for (int tenth = 0; tenth < 100; ++tenth) {
    const MonotonicTime now = kStart + milliseconds(100) * tenth;
    for (int i = 1; i <= 8; ++i) {
      const Duration work = milliseconds(9) * i * (i == 1 ? factor : 1);
      tracker.Record("o" + std::to_string(i), i, work, now);
    }
  }
  return tracker;
}

// Guards against refusals of organisations within their share while another one
// floods.
TEST_CASE("while one organisation floods, the others are displaced") {
  ShareTracker tracker = Record(20);
  const MonotonicTime now = kStart + seconds(10);
  REQUIRE_FALSE(tracker.IsDisplaced("o1", 1, now));
  for (int i = 2; i <= 8; ++i) {
    REQUIRE(tracker.IsDisplaced("o" + std::to_string(i), i, now));
  }
  REQUIRE(tracker.IsDisplaced("new", 1, now));
  // It is over soon after the flood.
  REQUIRE_FALSE(tracker.IsDisplaced("o2", 2, now + seconds(60)));
  REQUIRE(tracker.size() == 0);
}

// Guards against requests that are sent to full backend servers under an
// overload by all, where no organisation takes from another.
TEST_CASE("under a general overload nobody is displaced") {
  ShareTracker tracker = Record(1);
  for (int i = 1; i <= 8; ++i) {
    REQUIRE_FALSE(
        tracker.IsDisplaced("o" + std::to_string(i), i, kStart + seconds(10)));
  }
}

// Guards against state that grows with the number of names.
TEST_CASE("the tracker keeps a bounded number of organisations") {
  ShareTracker tracker;
  for (int i = 0; i < 12'000; ++i) {
    tracker.Record(std::to_string(i), 1, seconds(10), kStart);
  }
  REQUIRE(tracker.size() == 10'000);
}

}  // namespace
}  // namespace oleandertide::organisations
