#include "routing/replay.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <string>
#include <utility>

#include "routing/trace_expectations.h"
#include "routing/trace_generator.h"

namespace oleandertide::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Trace ReadRecordedTrace(const std::string& name) {
  const std::string path = std::string(TRACE_FOLDER) + "/" + name + ".jsonl";
  std::ifstream input(path);
  REQUIRE(input);
  return std::get<Trace>(ReadTrace(input, path));
}

// Guards against a change of a routing decision that worsens the result of a
// recorded trace. The file NAME.expected beside each trace states its bounds.
TEST_CASE("kept traces have their stated outcomes") {
  for (const NamedTrace& named : GenerateTraces()) {
    const ReplayResult result = Replay(ReadRecordedTrace(named.name), {});
    const std::string path =
        std::string(TRACE_FOLDER) + "/" + named.name + ".expected";
    std::ifstream expected(path);
    REQUIRE(expected);
    CHECK(CheckExpectations(expected, path, result.figures) ==
          std::vector<std::string>{});
  }
}

// Guards against a thundering herd that keeps a service down after the load has
// fallen: without admission the service runs only requests whose callers have
// given up.
TEST_CASE("a returning herd does not keep a service down") {
  const Trace trace = ReadRecordedTrace("carron-wire-group-herd");
  ReplayOptions off;
  off.has_admission = false;
  REQUIRE(Replay(trace, off).figure("late-complete-share") < 0.5);
  REQUIRE(Replay(trace, {}).figure("late-complete-share") >= 0.999);
}

double Goodput(const Trace& trace, const ReplayOptions& options) {
  constexpr int kFromSecond = 1;
  constexpr int kToSecond = 4;
  std::vector<int> complete = Replay(trace, options).complete_per_second;
  complete.resize(std::max<std::size_t>(complete.size(), kToSecond));
  return std::accumulate(complete.begin() + kFromSecond,
                         complete.begin() + kToSecond, 0.0) /
         (kToSecond - kFromSecond) / Capacity(trace.header.services[0]);
}

// Guards against congestion collapse: goodput that falls as load rises.
TEST_CASE("goodput at ten times the capacity is at least 0.9 of it") {
  const Trace trace = GenerateConstantLoad(10, 4, 4);
  ReplayOptions off;
  off.has_admission = false;
  REQUIRE(Goodput(trace, off) < 0.5);
  REQUIRE(Goodput(trace, {}) >= 0.9);
}

// Guards against retries that increase the overload, against bookings that are
// shed together with lookups, and against requests that start after their
// deadline.
TEST_CASE("overload keeps retries few and sheds lookups first") {
  const Trace trace = GenerateConstantLoad(3, 4, 4);
  ReplayOptions unlimited;
  unlimited.has_retry_budget = false;
  REQUIRE(Replay(trace, unlimited).figure("attempts-per-request") > 1.5);
  const ReplayResult result = Replay(trace, {});
  REQUIRE(result.figure("attempts-per-request") <= 1.1);
  REQUIRE(result.figure("booking-complete-share") >= 0.99);
  REQUIRE(result.figure("lookup-complete-share") < 0.4);
  REQUIRE(result.figure("started-late") == 0);
  ReplayOptions no_admission;
  no_admission.has_admission = false;
  const ReplayResult late = Replay(trace, no_admission);
  REQUIRE(late.figure("started-late") > 0);
  REQUIRE(late.figure("booking-complete-share") < 0.5);
}

// Returns a trace with half the capacity of four backend servers as load for
// `duration` seconds, and `events`.
Trace HalfLoad(int duration, std::vector<TraceEvent> events) {
  Trace trace = GenerateConstantLoad(0.5, duration, 4);
  std::ranges::move(events, std::back_inserter(trace.events));
  std::ranges::stable_sort(trace.events, {}, &TraceEvent::at);
  return trace;
}

// Guards against planned restarts that cut or refuse requests: every backend
// server is drained and restarted, one after the other.
TEST_CASE("a rolling drain cuts no request") {
  std::vector<TraceEvent> events;
  for (int i = 0; i < 4; ++i) {
    const std::string name = "service/" + std::to_string(i);
    events.push_back({milliseconds(1100 + 6000 * i), TraceDrain{name}});
    events.push_back({milliseconds(5100 + 6000 * i), TraceRestart{name}});
  }
  const Trace trace = HalfLoad(26, events);
  ReplayOptions off;
  off.has_drain = false;
  REQUIRE(Replay(trace, off).figure("cut") > 0);
  const ReplayResult result = Replay(trace, {});
  REQUIRE(result.figure("cut") == 0);
  REQUIRE(result.figure("complete") == result.figure("arrivals"));
}

// Guards against a slow but healthy backend server that keeps its calls because
// it is the only one in its data centre and the nodes there prefer local ones.
TEST_CASE("a slow backend server is avoided even where it is preferred") {
  Trace trace = HalfLoad(12, {{seconds(2), TraceSlow{"service/0", 8}}});
  trace.header.data_centres = {"a", "b", "c", "d"};
  ReplayOptions off;
  off.choice = ChoiceKind::kRandom;
  const ReplayResult random = Replay(trace, off);
  const ReplayResult result = Replay(trace, {});
  const auto failed = [](const ReplayResult& replayed) {
    return replayed.figure("arrivals") - replayed.figure("complete");
  };
  REQUIRE(failed(random) > 300);
  REQUIRE(failed(result) * 10 < failed(random));
}

// Guards against one lookup that crashes every backend server of a service.
// Covers the whole path: choice, retries, gossip and quarantine.
TEST_CASE("a crashing lookup sent twenty times leaves the service up") {
  std::vector<TraceEvent> events;
  for (int i = 0; i < 20; ++i) {
    TraceArrivals crashing;
    crashing.service = "service";
    crashing.route = "service/broken";
    crashing.deadline = seconds(1);
    crashing.is_repeatable = true;
    crashing.is_crashing = true;
    events.push_back({seconds(2 + i), crashing});
    for (int server = 0; server < 4 && i % 5 == 4; ++server) {
      events.push_back(
          {seconds(2 + i), TraceRestart{"service/" + std::to_string(server)}});
    }
  }
  const Trace trace = HalfLoad(24, events);
  ReplayOptions off;
  off.has_quarantine = false;
  REQUIRE(Replay(trace, off).figure("deaths") > 8);
  const ReplayResult result = Replay(trace, {});
  REQUIRE(result.figure("deaths") <= 3);
  REQUIRE(result.figure("complete-share") > 0.99);
}

}  // namespace
}  // namespace oleandertide::routing
