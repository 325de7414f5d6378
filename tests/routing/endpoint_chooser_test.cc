#include "routing/endpoint_chooser.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace oleandertide::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1000)};

Endpoint MakeEndpoint(EndpointId id, std::string data_centre = "quito-1") {
  Endpoint endpoint;
  endpoint.id = id;
  endpoint.data_centre = std::move(data_centre);
  endpoint.slots = 4;
  endpoint.ready_since = kStart - seconds(60);
  return endpoint;
}

std::shared_ptr<const EndpointTable> MakeTable(
    std::vector<Endpoint> endpoints, const EndpointTable* previous = nullptr) {
  return EndpointTable::Build(std::move(endpoints), "quito-1", previous)
      .value();
}

// Makes `count` calls at 20 ms intervals. Each is recorded as ended, with the
// latency and result of `end_of`, before the next one. Returns the number of
// calls per endpoint id.
std::vector<int> SendCalls(
    EndpointChooser& chooser, const EndpointTable& table, int count,
    const std::function<std::pair<Duration, AttemptEnd>(EndpointId)>& end_of,
    MonotonicTime start = kStart) {
  RandomSource random(5);
  std::vector<int> calls(64);
  for (int i = 0; i < count; ++i) {
    const MonotonicTime now = start + milliseconds(20) * i;
    const Endpoint* chosen = chooser.Choose(table, {.now = now}, random);
    REQUIRE(chosen != nullptr);
    ++calls.at(chosen->id);
    const auto [elapsed, end] = end_of(chosen->id);
    chosen->statistics->RecordStart();
    chosen->statistics->RecordEnd(now + elapsed, elapsed, end);
  }
  return calls;
}

std::pair<Duration, AttemptEnd> CompleteIn5Ms(EndpointId /*id*/) {
  return {milliseconds(5), AttemptEnd::kCompleted};
}

template <typename Strategy>
EndpointChooser Baseline() {
  return EndpointChooser(std::in_place_type<Strategy>);
}

// Guards against a slow server that gets its full share because its health
// checks pass.
TEST_CASE("a slow but healthy backend server is avoided") {
  const auto one_is_slow =
      [](EndpointId id) -> std::pair<Duration, AttemptEnd> {
    return {milliseconds(id == 3 ? 500 : 5), AttemptEnd::kCompleted};
  };
  std::vector<Endpoint> endpoints;
  for (EndpointId id = 0; id < 10; ++id) endpoints.push_back(MakeEndpoint(id));
  EndpointChooser random = Baseline<RandomChoice>();
  EndpointChooser round_robin = Baseline<RoundRobinChoice>();
  EndpointChooser better_of_two;
  // The baselines give the slow server its full share of a tenth.
  REQUIRE(SendCalls(random, *MakeTable(endpoints), 2000, one_is_slow)[3] > 150);
  REQUIRE(SendCalls(round_robin, *MakeTable(endpoints), 2000, one_is_slow)[3] ==
          200);
  REQUIRE(SendCalls(better_of_two, *MakeTable(endpoints), 2000,
                    one_is_slow)[3] < 40);
}

// Guards against a server that attracts all calls because it fails quickly and
// so has the fewest calls in flight.
TEST_CASE("a backend server that fails fast is avoided") {
  const auto one_fails = [](EndpointId id) -> std::pair<Duration, AttemptEnd> {
    if (id == 3) return {Duration(100), AttemptEnd::kFailed};
    return {milliseconds(5), AttemptEnd::kCompleted};
  };
  std::vector<Endpoint> endpoints;
  for (EndpointId id = 0; id < 10; ++id) endpoints.push_back(MakeEndpoint(id));
  EndpointChooser random = Baseline<RandomChoice>();
  EndpointChooser better_of_two;
  REQUIRE(SendCalls(random, *MakeTable(endpoints), 2000, one_fails)[3] > 150);
  REQUIRE(SendCalls(better_of_two, *MakeTable(endpoints), 2000, one_fails)[3] <
          40);
}

// Guards against a wrong load report that outweighs the latency which the node
// measures: one slow server reports no load, the fast ones report high load.
TEST_CASE("a reported load never decides alone") {
  std::vector<Endpoint> endpoints;
  for (EndpointId id = 0; id < 4; ++id) endpoints.push_back(MakeEndpoint(id));
  for (Endpoint& endpoint : endpoints) {
    endpoint.reported_load = endpoint.id == 3 ? 0 : 0.95F;
  }
  EndpointChooser chooser;
  const auto calls = SendCalls(
      chooser, *MakeTable(endpoints), 1000,
      [](EndpointId id) -> std::pair<Duration, AttemptEnd> {
        return {milliseconds(id == 3 ? 100 : 5), AttemptEnd::kCompleted};
      });
  REQUIRE(calls[3] < 100);
}

// Guards against a server that gets its full share of calls as soon as it is
// ready.
TEST_CASE("a cold backend server starts slowly") {
  std::vector<Endpoint> endpoints;
  for (EndpointId id = 0; id < 5; ++id) endpoints.push_back(MakeEndpoint(id));
  endpoints[2].ready_since = kStart;
  EndpointChooser random = Baseline<RandomChoice>();
  EndpointChooser chooser;
  REQUIRE(SendCalls(random, *MakeTable(endpoints), 100, CompleteIn5Ms)[2] > 10);
  REQUIRE(SendCalls(chooser, *MakeTable(endpoints), 100, CompleteIn5Ms)[2] <=
          5);
  // Slow start ends after ten seconds.
  const auto later = SendCalls(chooser, *MakeTable(endpoints), 1000,
                               CompleteIn5Ms, kStart + seconds(11));
  REQUIRE(later[2] > 120);
}

// Guards against a slow start that leaves no server to choose, or sends all
// calls to one server, when all servers have just started.
TEST_CASE("when all are cold at once the load is spread") {
  std::vector<Endpoint> endpoints;
  for (EndpointId id = 0; id < 10; ++id) {
    endpoints.push_back(MakeEndpoint(id));
    endpoints.back().ready_since = kStart;
  }
  // One server has finished its slow start.
  endpoints[4].ready_since = kStart - seconds(10);
  EndpointChooser chooser;
  const auto calls =
      SendCalls(chooser, *MakeTable(endpoints), 100, CompleteIn5Ms);
  REQUIRE(calls[4] < 70);
  endpoints[4].ready_since = kStart;
  const auto even =
      SendCalls(chooser, *MakeTable(endpoints), 1000, CompleteIn5Ms);
  REQUIRE(*std::max_element(even.begin(), even.begin() + 10) < 200);
  REQUIRE(*std::min_element(even.begin(), even.begin() + 10) > 40);
}

// Guards against needless calls to another data centre, and against calls that
// fail although another data centre has capacity.
TEST_CASE("the local data centre is left only when it lacks capacity") {
  std::vector<Endpoint> endpoints;
  for (EndpointId id = 0; id < 3; ++id) endpoints.push_back(MakeEndpoint(id));
  for (EndpointId id = 3; id < 9; ++id) {
    endpoints.push_back(MakeEndpoint(id, "quito-2"));
  }
  const auto remote = [](const std::vector<int>& calls) {
    int sum = 0;
    for (std::size_t i = 3; i < calls.size(); ++i) sum += calls[i];
    return sum;
  };
  EndpointChooser random = Baseline<RandomChoice>();
  EndpointChooser chooser;
  REQUIRE(remote(SendCalls(random, *MakeTable(endpoints), 900, CompleteIn5Ms)) >
          500);
  REQUIRE(remote(SendCalls(chooser, *MakeTable(endpoints), 900,
                           CompleteIn5Ms)) == 0);
  const auto refused_here =
      [](EndpointId id) -> std::pair<Duration, AttemptEnd> {
    if (id < 3) return {Duration(200), AttemptEnd::kRefused};
    return {milliseconds(8), AttemptEnd::kCompleted};
  };
  REQUIRE(remote(SendCalls(chooser, *MakeTable(endpoints), 900, refused_here)) >
          850);
}

// Guards against retries on the same server and calls to a draining or dead
// one.
TEST_CASE("excluded, draining and dead endpoints are not chosen") {
  std::vector<Endpoint> endpoints;
  for (EndpointId id = 0; id < 5; ++id) endpoints.push_back(MakeEndpoint(id));
  endpoints[0].state = EndpointState::kDraining;
  endpoints[1].state = EndpointState::kDead;
  const auto table = MakeTable(endpoints);
  RandomSource random(3);
  const std::array<EndpointId, 2> excluded = {2, 4};
  EndpointChooser chooser;
  EndpointChooser round_robin = Baseline<RoundRobinChoice>();
  for (int i = 0; i < 100; ++i) {
    const ChoiceContext context{.now = kStart, .excluded = excluded};
    REQUIRE(chooser.Choose(*table, context, random)->id == 3);
    REQUIRE(round_robin.Choose(*table, context, random)->id == 3);
  }
  const std::array<EndpointId, 3> all = {2, 3, 4};
  REQUIRE(chooser.Choose(*table, {.now = kStart, .excluded = all}, random) ==
          nullptr);
}

// Guards against wrong in-flight counts when threads choose endpoints while the
// owner swaps the table.
TEST_CASE("concurrent choices keep exact counts in flight") {
  constexpr int kThreads = 4;
  constexpr int kCalls = 5000;
  std::vector<Endpoint> endpoints;
  for (EndpointId id = 0; id < 5; ++id) endpoints.push_back(MakeEndpoint(id));
  std::mutex mutex;
  std::shared_ptr<const EndpointTable> current = MakeTable(endpoints);
  const auto load = [&] {
    const std::lock_guard lock(mutex);
    return current;
  };
  EndpointChooser chooser;
  std::atomic<int> chosen_count{0};
  {
    std::vector<std::jthread> threads;
    threads.reserve(kThreads);
    for (int thread = 0; thread < kThreads; ++thread) {
      threads.emplace_back([&, thread] {
        RandomSource random(static_cast<std::uint64_t>(thread));
        for (int i = 0; i < kCalls; ++i) {
          const auto table = load();
          const MonotonicTime now = kStart + milliseconds(i);
          const Endpoint* chosen = chooser.Choose(*table, {.now = now}, random);
          chosen->statistics->RecordStart();
          ++chosen_count;
          chosen->statistics->RecordEnd(now, milliseconds(1 + i % 9),
                                        AttemptEnd::kCompleted);
        }
      });
    }
    for (int i = 0; i < 20; ++i) {
      const auto next = MakeTable(endpoints, load().get());
      const std::lock_guard lock(mutex);
      current = next;
    }
  }
  REQUIRE(chosen_count == kThreads * kCalls);
  for (const Endpoint& endpoint : current->all()) {
    REQUIRE(endpoint.statistics->in_flight() == 0);
    REQUIRE(endpoint.statistics->latency(kStart + seconds(6)).is_known);
  }
}

// Guards against statistics that are lost when the member table changes, and
// against a restarted endpoint that inherits the statistics of its earlier
// life.
TEST_CASE("statistics pass to the next table for the same life only") {
  std::vector<Endpoint> endpoints = {MakeEndpoint(1), MakeEndpoint(2)};
  const auto old_table = MakeTable(endpoints);
  endpoints[1].life = 9;
  const auto new_table = MakeTable(endpoints, old_table.get());
  REQUIRE(new_table->all()[0].statistics == old_table->all()[0].statistics);
  REQUIRE(new_table->all()[1].statistics != old_table->all()[1].statistics);
  endpoints.push_back(MakeEndpoint(1));
  REQUIRE(EndpointTable::Build(endpoints, "quito-1").error() ==
          Error::kInvalidArgument);
}

}  // namespace
}  // namespace oleandertide::routing
