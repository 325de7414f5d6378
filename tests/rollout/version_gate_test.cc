#include "rollout/version_gate.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace oleandertide::rollout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootTime kStart{seconds(100)};

BackendIdentity MakeBackend(std::string_view version,
                            std::int64_t started_at_ms = 1) {
  return {.id = "i-1",
          .service = "acervo",
          .version = version,
          .started_at_ms = started_at_ms};
}

// Guards against a new version that gets all traffic because the node beside it
// did not know of the order yet.
TEST_CASE("a backend server waits for a later answer of the store") {
  VersionGate gate;
  gate.OnBackend(MakeBackend("v2"), kStart);
  REQUIRE(gate.needs_confirmation());
  REQUIRE_FALSE(gate.MayAccept(nullptr, kStart));
  // An answer to a call that was sent earlier may not contain the order.
  gate.OnConfirmed(kStart - milliseconds(1));
  REQUIRE_FALSE(gate.MayAccept(nullptr, kStart + seconds(60)));
  gate.OnConfirmed(kStart);
  REQUIRE(gate.MayAccept(nullptr, kStart));
  REQUIRE_FALSE(gate.needs_confirmation());
  // A heartbeat changes nothing, a new incarnation or version does.
  gate.OnBackend(MakeBackend("v2"), kStart + seconds(5));
  REQUIRE(gate.MayAccept(nullptr, kStart + seconds(5)));
  gate.OnBackend(MakeBackend("v3"), kStart + seconds(6));
  REQUIRE_FALSE(gate.MayAccept(nullptr, kStart + seconds(6)));
}

// Guards against old backend servers that restart while the store is down and
// stay without requests until it is back.
TEST_CASE("without the store, only the version of all others is accepted") {
  const BootTime later = kStart + VersionGate::kUnconfirmedHold;
  VersionGate gate;
  gate.OnBackend(MakeBackend("v1"), kStart);
  // No other backend server is known.
  REQUIRE_FALSE(gate.MayAccept(nullptr, later));
  gate.OnOtherVersion("provas", "v2");
  gate.OnOtherVersion("acervo", "v1");
  REQUIRE_FALSE(gate.MayAccept(nullptr, later - milliseconds(1)));
  REQUIRE(gate.MayAccept(nullptr, later));
  gate.OnOtherVersion("acervo", "v2");
  REQUIRE_FALSE(gate.MayAccept(nullptr, later));
}

// Guards against the only backend server of its service that stays away for as
// long as the store is down, on a system that may have no roll-outs at all.
TEST_CASE(
    "where no orders are expected, a version without another one is "
    "accepted") {
  const BootTime later = kStart + VersionGate::kUnconfirmedHold;
  VersionGate gate({.expects_orders = false});
  gate.OnBackend(MakeBackend("v1"), kStart);
  REQUIRE_FALSE(gate.MayAccept(nullptr, later - milliseconds(1)));
  REQUIRE(gate.MayAccept(nullptr, later));
  gate.OnOtherVersion("acervo", "v2");
  REQUIRE_FALSE(gate.MayAccept(nullptr, later));
  gate.OnConfirmed(kStart);
  REQUIRE(gate.MayAccept(nullptr, later));
  // An order is known: the version waits for the store or one like it.
  VersionGate ordered({.expects_orders = false});
  ordered.OnBackend(MakeBackend("v1"), kStart);
  OrderState state;
  state.order.service = "acervo";
  state.order.to = "v1";
  REQUIRE_FALSE(ordered.MayAccept(&state, later));
}

TEST_CASE("each step names the versions that accept requests") {
  const auto accepts = [](std::string_view version, Step step) {
    VersionGate gate;
    gate.OnBackend(MakeBackend(version), kStart);
    gate.OnConfirmed(kStart);
    const OrderState state{
        .order = {.service = "acervo", .to = "v2", .position = {.version = 5}},
        .step = step,
        .withheld = "v0"};
    return gate.MayAccept(&state, kStart);
  };
  for (const Step step :
       {Step::kOrdered, Step::kTrial, Step::kReplacing, Step::kRollingBack,
        Step::kCancelled, Step::kCompleted, Step::kRolledBack}) {
    const bool is_end = step == Step::kReplacing || step == Step::kCompleted;
    const bool is_back = step == Step::kRollingBack ||
                         step == Step::kCancelled || step == Step::kRolledBack;
    REQUIRE(accepts("v1", step) == !is_end);
    REQUIRE(accepts("v2", step) == !is_back);
    REQUIRE_FALSE(accepts("v0", step));
    // Without a version, nothing is held back.
    REQUIRE(accepts("", step));
  }
}

}  // namespace
}  // namespace oleandertide::rollout
