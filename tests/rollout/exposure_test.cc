#include "rollout/exposure.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace oleandertide::rollout {
namespace {

OrderState MakeState(Step step, std::uint32_t share = 0) {
  return {
      .order = {.service = "acervo", .to = "v2", .position = {.version = 5}},
      .step = step,
      .share_permille = share};
}

// Guards against a bad version that gets more than its share of the requests:
// over many ingresses of unequal traffic, whatever share the state names.
TEST_CASE("a version on trial gets at most its share over the fleet") {
  std::mt19937 random(7);
  for (const std::uint32_t share : {0U, 30U, 90U, 1000U}) {
    constexpr double kMaxShare = 0.1;
    std::vector<Exposure> ingresses(60, Exposure(kMaxShare));
    const OrderState state = MakeState(Step::kTrial, share);
    int sent = 0;
    int sent_to_new = 0;
    std::geometric_distribution<std::size_t> ingress_of(0.1);
    for (int i = 0; i < 5000; ++i) {
      Exposure& ingress = ingresses[ingress_of(random) % ingresses.size()];
      const auto rule = ingress.Choose(&state, true);
      const bool is_new = rule == VersionRule::kNewFirst;
      REQUIRE((is_new || rule == VersionRule::kOldOnly));
      ingress.RecordSent(state, is_new ? "v2" : "v1");
      ++sent;
      sent_to_new += is_new ? 1 : 0;
      REQUIRE(sent_to_new <= kMaxShare * sent);
    }
    // Most ingresses that have traffic take part.
    if (share > 0) REQUIRE(sent_to_new > 0);
    if (share == 0) REQUIRE(sent_to_new == 0);
  }
}

// Guards against credit from before a trial: requests of an earlier order do
// not count for the next one.
TEST_CASE("the count starts at zero for each order") {
  Exposure ingress(0.1);
  OrderState state = MakeState(Step::kTrial, 100);
  for (int i = 0; i < 1000; ++i) ingress.RecordSent(state, "v1");
  REQUIRE(ingress.Choose(&state, true) == VersionRule::kNewFirst);
  state.order.position.version = 6;
  REQUIRE(ingress.Choose(&state, true) == VersionRule::kOldOnly);
}

TEST_CASE("each step names the version that gets requests") {
  Exposure ingress(0.1);
  REQUIRE(ingress.Choose(nullptr, true) == VersionRule::kAny);
  const auto choose = [&](Step step) {
    const OrderState state = MakeState(step);
    return ingress.Choose(&state, true);
  };
  REQUIRE(choose(Step::kOrdered) == VersionRule::kOldOnly);
  REQUIRE(choose(Step::kTrial) == VersionRule::kOldOnly);
  REQUIRE(choose(Step::kReplacing) == VersionRule::kNewOnly);
  REQUIRE(choose(Step::kCompleted) == VersionRule::kNewOnly);
  REQUIRE(choose(Step::kRollingBack) == VersionRule::kOldOnly);
  REQUIRE(choose(Step::kRolledBack) == VersionRule::kOldOnly);
  REQUIRE(choose(Step::kCancelled) == VersionRule::kOldOnly);
}

// Guards against an outage after a restart of all nodes: the order of a
// completed roll-out is still in the store, and the old version is gone. And
// against the opposite: when all old backend servers are lost during a trial,
// the new version does not get their share.
TEST_CASE("the only version seen since the order serves") {
  const OrderState state = MakeState(Step::kOrdered);
  Exposure restarted(0.1);
  REQUIRE(restarted.Choose(&state, false) == VersionRule::kAny);
  Exposure ingress(0.1);
  REQUIRE(ingress.Choose(&state, true) == VersionRule::kOldOnly);
  REQUIRE(ingress.Choose(&state, false) == VersionRule::kOldOnly);
}

// Guards against a burst at the few backend servers on trial: the share of the
// requests before the trial, or while there was no room, came all at once.
TEST_CASE("a share that was not used is not made up for") {
  Exposure ingress(0.1);
  const OrderState ordered = MakeState(Step::kOrdered);
  ingress.Choose(&ordered, true);
  for (int i = 0; i < 1000; ++i) ingress.RecordSent(ordered, "v1");
  const OrderState trial = MakeState(Step::kTrial, 100);
  REQUIRE(ingress.Choose(&trial, true) == VersionRule::kOldOnly);
  for (int i = 0; i < 1000; ++i) ingress.RecordSent(trial, "v1");
  int burst = 0;
  while (ingress.Choose(&trial, true) == VersionRule::kNewFirst) {
    ingress.RecordSent(trial, "v2");
    ++burst;
  }
  REQUIRE(burst <= 2);
}

// Guards against a raised share that exceeds the bound before the version is
// found bad: an ingress without savings since the order must not follow it.
TEST_CASE("a raised share uses only what was saved since the order") {
  const OrderState ordered = MakeState(Step::kOrdered);
  const OrderState raised = MakeState(Step::kTrial, 500);
  for (const int saved : {0, 1000}) {
    Exposure ingress(0.1);
    ingress.Choose(&ordered, true);
    for (int i = 0; i < saved; ++i) ingress.RecordSent(ordered, "v1");
    int sent_to_new = 0;
    for (int i = 1; i <= 200; ++i) {
      const bool is_new =
          ingress.Choose(&raised, true) == VersionRule::kNewFirst;
      ingress.RecordSent(raised, is_new ? "v2" : "v1");
      sent_to_new += is_new ? 1 : 0;
      REQUIRE(sent_to_new <= 0.1 * (saved + i));
    }
    if (saved == 0) REQUIRE(sent_to_new <= 20);
    if (saved == 1000) REQUIRE(sent_to_new >= 95);
  }
}

// Guards against new backend servers that run far below their usual load in a
// step, or far above it.
TEST_CASE("the backend servers in use grow with the share") {
  const Exposure ingress(0.1);
  const auto limit = [&](std::uint32_t share, std::size_t servers) {
    return ingress.ServerLimit(MakeState(Step::kTrial, share), servers);
  };
  REQUIRE(limit(80, 40) == 2);
  REQUIRE(limit(250, 4) == 2);
  REQUIRE(limit(250, 40) == 10);
  REQUIRE(limit(500, 40) == 20);
}

}  // namespace
}  // namespace oleandertide::rollout
