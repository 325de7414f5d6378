#include "mesh/placement.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <variant>

namespace oleandertide::mesh {
namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kNow{std::chrono::seconds(100)};

// 16 kB between data centres cost about a quarter of an answer's value.
constexpr double kCrossingCostPerByte = 16e-6;

BackendLoad MakeLoad(int running, int waiting = 0, double slowness = 1) {
  return {.accepts_requests = true,
          .slots = 12,
          .running = running,
          .waiting = {0, 0, waiting, 0},
          .mean_run_time = milliseconds(100),
          .slowness = slowness};
}

Placement::Request MakeRequest(double bytes = 400) {
  return {.service = "rooms",
          .priority = 2,
          .expected_run = milliseconds(100),
          .expected_bytes = bytes,
          .wait_allowance = milliseconds(200),
          .target_latency = milliseconds(300),
          .now = kNow};
}

// Returns the number of requests sent to each node when `loads` is reported
// before each of the `count` requests.
std::map<std::string, int> CountChoicesByNode(
    Placement& placement, int count, const Placement::Request& request,
    const std::map<std::string, BackendLoad>& loads) {
  RandomSource random(11);
  std::map<std::string, int> choices;
  for (int i = 0; i < count; ++i) {
    for (const auto& [node, load] : loads) {
      placement.UpdateLoad(node, load, kNow);
    }
    const auto decision = placement.Choose(request, {}, random);
    ++choices[std::get<Placement::Choice>(decision).node];
  }
  return choices;
}

constexpr Placement::Location kOwnDataCentre{.is_in_own_data_centre = true,
                                             .link_mbps = 1000};
constexpr Placement::Location kOtherDataCentre{.is_in_own_data_centre = false,
                                               .link_mbps = 1000};

// Guards against requests that are sent to another data centre although the own
// one has capacity.
TEST_CASE("the own data centre is preferred while it has capacity") {
  Placement placement(kCrossingCostPerByte);
  placement.Update("own", "rooms", kOwnDataCentre, MakeLoad(2), kNow);
  placement.Update("other", "rooms", kOtherDataCentre, MakeLoad(2), kNow);
  // Large answers between data centres carry a high penalty.
  auto choices =
      CountChoicesByNode(placement, 100, MakeRequest(90'000),
                         {{"own", MakeLoad(2)}, {"other", MakeLoad(2)}});
  REQUIRE(choices["own"] == 100);
  // Without capacity in the own data centre, the other one serves.
  choices =
      CountChoicesByNode(placement, 100, MakeRequest(),
                         {{"own", MakeLoad(12, 10)}, {"other", MakeLoad(2)}});
  REQUIRE(choices["other"] == 100);
}

// Guards against bytes between data centres without gain: an answer that is
// expected in time anyway came from whichever server was a little less loaded.
TEST_CASE("a request stays in its data centre while its answer is in time") {
  Placement placement(kCrossingCostPerByte);
  Placement::Request request = MakeRequest(1500);
  request.expected_run = milliseconds(150);
  request.target_latency = milliseconds(1500);
  placement.Update("own", "rooms", kOwnDataCentre, MakeLoad(11, 0, 1.4), kNow);
  placement.Update("other", "rooms", kOtherDataCentre, MakeLoad(0), kNow);
  auto choices = CountChoicesByNode(
      placement, 100, request,
      {{"own", MakeLoad(11, 0, 1.4)}, {"other", MakeLoad(0)}});
  REQUIRE(choices["own"] == 100);
  // The answer would be late there more often than the bytes are worth.
  request.target_latency = milliseconds(400);
  choices = CountChoicesByNode(
      placement, 100, request,
      {{"own", MakeLoad(11, 0, 1.4)}, {"other", MakeLoad(0)}});
  REQUIRE(choices["other"] == 100);
  // Time that has passed counts.
  request.target_latency = milliseconds(1500);
  request.elapsed = milliseconds(1100);
  choices = CountChoicesByNode(
      placement, 100, request,
      {{"own", MakeLoad(11, 0, 1.4)}, {"other", MakeLoad(0)}});
  REQUIRE(choices["other"] == 100);
}

// Guards against a data centre that is left for long because of a failure or
// two: without requests, its backend server could not show that it is sound.
TEST_CASE("few failures do not drive requests to another data centre") {
  Placement placement(kCrossingCostPerByte);
  BackendLoad load = MakeLoad(2);
  load.failure_share = 0.07;
  placement.Update("own", "rooms", kOwnDataCentre, load, kNow);
  placement.Update("other", "rooms", kOtherDataCentre, MakeLoad(2), kNow);
  auto choices = CountChoicesByNode(placement, 100, MakeRequest(),
                                    {{"own", load}, {"other", MakeLoad(2)}});
  REQUIRE(choices["own"] == 100);
}

// Guards against a slow or failing backend server that gets as many requests as
// a good one.
TEST_CASE("slow and failing backend servers are avoided") {
  Placement placement(kCrossingCostPerByte);
  BackendLoad failing = MakeLoad(2);
  failing.failure_share = 0.5;
  placement.Update("good", "rooms", kOwnDataCentre, MakeLoad(6), kNow);
  placement.Update("slow", "rooms", kOwnDataCentre, MakeLoad(2, 0, 5), kNow);
  placement.Update("failing", "rooms", kOwnDataCentre, failing, kNow);
  auto choices = CountChoicesByNode(placement, 200, MakeRequest(),
                                    {{"good", MakeLoad(6)},
                                     {"slow", MakeLoad(2, 0, 5)},
                                     {"failing", failing}});
  REQUIRE(choices["good"] == 200);
}

// Guards against ingresses that each send all requests to the one node that
// their old reports show as free.
TEST_CASE("requests sent since a report count as load") {
  Placement placement(kCrossingCostPerByte);
  placement.Update("a", "rooms", kOwnDataCentre, MakeLoad(11), kNow);
  placement.Update("b", "rooms", kOwnDataCentre, MakeLoad(11), kNow);
  RandomSource random(3);
  std::map<std::string, int> choices;
  for (int i = 0; i < 10; ++i) {
    ++choices[std::get<Placement::Choice>(
                  placement.Choose(MakeRequest(), {}, random))
                  .node];
  }
  REQUIRE(choices["a"] >= 4);
  REQUIRE(choices["b"] >= 4);
}

// Guards against small answers that wait behind downloads on a narrow link.
TEST_CASE("a node with a backlog on its link is avoided") {
  Placement placement(kCrossingCostPerByte);
  BackendLoad busy = MakeLoad(2);
  busy.link_wait = milliseconds(150);
  placement.Update("busy", "rooms", kOwnDataCentre, busy, kNow);
  placement.Update("quiet", "rooms", kOwnDataCentre, MakeLoad(5), kNow);
  auto choices = CountChoicesByNode(placement, 50, MakeRequest(),
                                    {{"busy", busy}, {"quiet", MakeLoad(5)}});
  REQUIRE(choices["quiet"] == 50);
}

// Guards against downloads that are promised on links that cannot carry them in
// time, and against refusals of small answers, which do not wait for them.
TEST_CASE("a link that is busy for too long has no room") {
  Placement placement(kCrossingCostPerByte);
  RandomSource random(11);
  BackendLoad load = MakeLoad(0);
  load.link_wait = milliseconds(300);
  placement.Update("a", "rooms", {.link_mbps = 14}, load, kNow);
  auto request = MakeRequest(90'000);
  request.link_allowance = milliseconds(250);
  const auto decision = placement.Choose(request, {}, random);
  const auto* no_room = std::get_if<Placement::NoRoom>(&decision);
  REQUIRE(no_room != nullptr);
  REQUIRE(no_room->until_room == milliseconds(50));
  request.link_allowance.reset();
  REQUIRE(std::holds_alternative<Placement::Choice>(
      placement.Choose(request, {}, random)));
  // What was promised since the report counts.
  request.link_allowance = milliseconds(340);
  REQUIRE(std::holds_alternative<Placement::NoRoom>(
      placement.Choose(request, {}, random)));
}

// Guards against the collapse of a service whose backend servers call another
// one: calls of urgent routes were refused at the ingress because less urgent
// requests, which they overtake, were waiting everywhere.
TEST_CASE("waiting requests of less urgent routes do not refuse urgent ones") {
  Placement placement(kCrossingCostPerByte);
  RandomSource random(3);
  // 12 requests run and 40 of priority 2 wait: a further one waits 340 ms.
  placement.Update("a", "rooms", kOwnDataCentre, MakeLoad(12, 40), kNow);
  Placement::Request request = MakeRequest();
  REQUIRE(std::holds_alternative<Placement::NoRoom>(
      placement.Choose(request, {}, random)));
  request.priority = 1;
  request.wait_allowance = milliseconds(65);
  const auto decision = placement.Choose(request, {}, random);
  const auto* choice = std::get_if<Placement::Choice>(&decision);
  REQUIRE(choice != nullptr);
  REQUIRE(choice->expected_wait < milliseconds(10));
}

// Guards against organisations within their share that are refused at the
// ingress because requests of one beyond its share wait everywhere.
TEST_CASE("a displaced request goes before the waiting ones of its rank") {
  Placement placement(kCrossingCostPerByte);
  RandomSource random(3);
  // 12 requests run and 40 of priority 2 wait: a further one waits 340 ms.
  placement.Update("a", "rooms", kOwnDataCentre, MakeLoad(12, 40), kNow);
  Placement::Request request = MakeRequest();
  REQUIRE(std::holds_alternative<Placement::NoRoom>(
      placement.Choose(request, {}, random)));
  request.is_displaced = true;
  REQUIRE(std::holds_alternative<Placement::Choice>(
      placement.Choose(request, {}, random)));
  // It does not go before those of more urgent ranks.
  request.priority = 3;
  REQUIRE(std::holds_alternative<Placement::NoRoom>(
      placement.Choose(request, {}, random)));
}

// Guards against requests to nodes that are disconnected or paused, whose last
// report still shows free capacity.
TEST_CASE("a node with a stale report is chosen only if no other accepts") {
  Placement placement(kCrossingCostPerByte);
  RandomSource random(4);
  placement.Update("silent", "rooms", kOwnDataCentre, MakeLoad(0), kNow);
  const MonotonicTime later = kNow + milliseconds(700);
  placement.Update("heard", "rooms", kOtherDataCentre, MakeLoad(11), later);
  Placement::Request request = MakeRequest();
  request.now = later;
  auto decision = placement.Choose(request, {}, random);
  REQUIRE(std::get<Placement::Choice>(decision).node == "heard");
  // A node with a stale report is used if no other accepts the request.
  placement.Update("heard", "rooms", kOtherDataCentre, MakeLoad(12, 60), later);
  decision = placement.Choose(request, {}, random);
  REQUIRE(std::get<Placement::Choice>(decision).node == "silent");
}

// Guards against a refusal without the expected time until there is room, and
// against NoRoom for a service that no backend server runs.
TEST_CASE("the decision distinguishes no room from no backend server") {
  Placement placement(kCrossingCostPerByte);
  RandomSource random(5);
  REQUIRE(std::holds_alternative<Placement::NoBackendServer>(
      placement.Choose(MakeRequest(), {}, random)));
  placement.Update("a", "rooms", kOwnDataCentre, MakeLoad(12, 60), kNow);
  const auto decision = placement.Choose(MakeRequest(), {}, random);
  const auto* no_room = std::get_if<Placement::NoRoom>(&decision);
  REQUIRE(no_room != nullptr);
  REQUIRE(no_room->until_room > milliseconds(100));
  REQUIRE(no_room->until_room < milliseconds(600));
  const std::vector<std::string> tried = {"a"};
  REQUIRE(std::holds_alternative<Placement::NoBackendServer>(
      placement.Choose(MakeRequest(), tried, random)));
}

// Guards against requests for one group of backend servers that are placed in
// another, also when the group has no room.
TEST_CASE("a request is placed among one group of versions") {
  Placement placement(kCrossingCostPerByte);
  RandomSource random(3);
  placement.Update("old", "rooms", kOwnDataCentre, MakeLoad(11), kNow, "v1");
  placement.Update("new", "rooms", kOwnDataCentre, MakeLoad(0), kNow, "v2");
  placement.Update("bad", "rooms", kOwnDataCentre, MakeLoad(0), kNow, "v0");
  Placement::Request request = MakeRequest();
  request.version = "v2";
  request.withheld_version = "v0";
  for (int i = 0; i < 10; ++i) {
    const auto choice = placement.Choose(request, {}, random);
    REQUIRE(std::get<Placement::Choice>(choice).node == "new");
  }
  request.is_version_excluded = true;
  const auto choice = placement.Choose(request, {}, random);
  REQUIRE(std::get<Placement::Choice>(choice).node == "old");
  placement.UpdateLoad("old", MakeLoad(12, 40), kNow);
  REQUIRE(std::holds_alternative<Placement::NoRoom>(
      placement.Choose(request, {}, random)));
  REQUIRE(placement.version("new") == "v2");
  REQUIRE(placement.CountAccepting("rooms", "v2") == 1);
  REQUIRE(placement.CountAccepting("rooms", "v3") == 0);
  REQUIRE(placement.has_other_version("rooms", "v2", "v0"));
  placement.Remove("old");
  REQUIRE_FALSE(placement.has_other_version("rooms", "v2", "v0"));
  REQUIRE(placement.has_other_version("rooms", "v2", ""));
}

}  // namespace
}  // namespace oleandertide::mesh
