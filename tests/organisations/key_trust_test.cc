#include "organisations/key_trust.h"

#include <catch2/catch.hpp>

namespace oleandertide::organisations {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BootTime At(std::int64_t ms) { return BootTime(milliseconds(ms)); }

TEST_CASE("keys are honoured only while the confirmation is recent") {
  // Guards against a node that is cut off and honours a withdrawn key.
  const KeyTrust trust(seconds(5));
  coordination::StoreClock clock;
  CHECK_FALSE(trust.MayHonour(clock, 1, At(0)));
  clock.ObserveAnswer(100'000, At(0), At(4));
  CHECK_FALSE(trust.MayHonour(clock, 0, At(4)));
  CHECK(trust.MayHonour(clock, 100'000, At(4)));
  CHECK(trust.MayHonour(clock, 100'000, At(3000)));
  CHECK_FALSE(trust.MayHonour(clock, 100'000, At(4500)));
}

TEST_CASE("a restarted node honours no key before an answer of the store") {
  // Guards against messages of other nodes that are cut off as well: their last
  // confirmation may be of any age.
  const KeyTrust trust(seconds(5));
  coordination::StoreClock clock;
  clock.Observe(100'000, At(60'000));
  CHECK_FALSE(trust.MayHonour(clock, 100'000, At(60'000)));
  // The store answers a call that took 500 ms: it may have shown this time when
  // the call was sent.
  clock.ObserveAnswer(160'000, At(60'000), At(60'500));
  CHECK_FALSE(trust.MayHonour(clock, 100'000, At(60'500)));
  CHECK(trust.MayHonour(clock, 160'000, At(63'900)));
  CHECK_FALSE(trust.MayHonour(clock, 160'000, At(64'100)));
}

TEST_CASE("a late message does not renew the trust in keys") {
  // Guards against status messages that a cut held up for seconds.
  const KeyTrust trust(seconds(5));
  coordination::StoreClock clock;
  clock.ObserveAnswer(100'000, At(0), At(4));
  // Another node's confirmation of the same moment arrives 6 s later.
  clock.Observe(100'010, At(6000));
  CHECK_FALSE(trust.MayHonour(clock, 100'010, At(6000)));
}

}  // namespace
}  // namespace oleandertide::organisations
