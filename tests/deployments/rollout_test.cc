// Orders to roll out a version, from the store to the ingresses.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sidecar/mesh_fixture.h"

namespace oleandertide::sidecar {
namespace {

using mesh::FeatureMode;
using std::chrono::milliseconds;

constexpr char kOrder[] = R"({"service":"booking","to":"v2","duration_s":1.5})";

// Backend servers of `booking` that count their requests by version.
class RolloutFixture {
 public:
  explicit RolloutFixture(FeatureMode mode = FeatureMode::kOn) : mode_(mode) {}

  Instance& Add(int& runs) {
    Instance& instance =
        mesh.AddInstance("booking", [&runs](const RawRequest& request) {
          ++runs;
          return RawReply{.bytes = StampedAnswer(request.target())};
        });
    instance.settings.deployment.rollouts = mode_;
    mesh.KillNode(instance);
    mesh.StartNode(instance);
    return instance;
  }

  int Announce(Instance& instance, std::string_view version) {
    return mesh.AnnounceText(
        instance,
        fmt::format(
            R"({{"service":"booking","address":"{}","zone":"z",)"
            R"("version":"{}","slots":2,"state":"ready","seq":{},"born":1000}})",
            instance.settings.backend.address.ToString(), version,
            ++instance.sequence));
  }

  // Sends requests one after the other; returns how many were answered 200.
  int SendMany(Instance& from, int count) {
    int answered = 0;
    for (int i = 0; i < count; ++i) {
      if (mesh.Send(from, "GET", "/idem/1").status == 200) ++answered;
    }
    return answered;
  }

  void AwaitMetric(Instance& instance, const std::string& line) {
    mesh.RunUntil([&] {
      return mesh.ReadMetrics(instance).find(line) != std::string::npos;
    });
  }

  mutable MeshFixture mesh;

 private:
  const FeatureMode mode_;
};

// Guards against a version on trial that gets requests from ingresses that do
// not know the order yet: the order exists before its backend servers, and no
// decider has begun the trial.
TEST_CASE("a version that was ordered gets nothing before its trial") {
  // On demand, nobody has told the nodes that there are roll-outs.
  RolloutFixture fixture(GENERATE(FeatureMode::kOn, FeatureMode::kOnDemand));
  MeshFixture& mesh = fixture.mesh;
  int old_runs = 0;
  int new_runs = 0;
  Instance& old_instance = fixture.Add(old_runs);
  REQUIRE(fixture.Announce(old_instance, "v1") == 200);
  mesh.AwaitService(old_instance, "/idem/0");
  mesh.store().Put("op", "rollout/booking", kOrder);
  Instance& new_instance = fixture.Add(new_runs);
  REQUIRE(fixture.Announce(new_instance, "v2") == 200);
  mesh.AwaitService(new_instance, "/idem/0");
  REQUIRE(fixture.SendMany(old_instance, 30) == 30);
  REQUIRE(fixture.SendMany(new_instance, 30) == 30);
  REQUIRE(new_runs == 0);
  // The operator removes the order: the version is held back for its duration,
  // and then makes no difference.
  mesh.store().Remove("op", "rollout/booking");
  REQUIRE(fixture.SendMany(old_instance, 30) == 30);
  REQUIRE(new_runs == 0);
  mesh.RunUntil([&] {
    mesh.Send(new_instance, "GET", "/idem/1");
    return new_runs > 0;
  });
}

// Guards against a backend server that takes requests although the store could
// not tell whether its version is on trial.
TEST_CASE("a version that differs waits until the store has answered") {
  RolloutFixture fixture;
  MeshFixture& mesh = fixture.mesh;
  int old_runs = 0;
  int new_runs = 0;
  Instance& old_instance = fixture.Add(old_runs);
  Instance& new_instance = fixture.Add(new_runs);
  REQUIRE(fixture.Announce(old_instance, "v1") == 200);
  mesh.AwaitService(old_instance, "/idem/0");
  mesh.AwaitService(new_instance, "/idem/0");
  mesh.store().set_failure(503);
  REQUIRE(fixture.Announce(new_instance, "v2") == 200);
  REQUIRE(fixture.SendMany(new_instance, 20) == 20);
  mesh.RunFor(milliseconds(3500));
  REQUIRE(fixture.SendMany(new_instance, 20) == 20);
  REQUIRE(new_runs == 0);
  fixture.AwaitMetric(new_instance, "backend_held 1");
  mesh.store().set_failure(0);
  fixture.AwaitMetric(new_instance, "backend_held 0");
  mesh.RunUntil([&] {
    mesh.Send(new_instance, "GET", "/idem/1");
    return new_runs > 0;
  });
}

// Guards against versions that make a difference where nobody asked for it.
TEST_CASE("without the feature, orders and versions change nothing") {
  RolloutFixture fixture(FeatureMode::kOff);
  MeshFixture& mesh = fixture.mesh;
  int old_runs = 0;
  int new_runs = 0;
  mesh.store().Put("op", "rollout/booking", kOrder);
  Instance& old_instance = fixture.Add(old_runs);
  Instance& new_instance = fixture.Add(new_runs);
  REQUIRE(fixture.Announce(old_instance, "v1") == 200);
  REQUIRE(fixture.Announce(new_instance, "v2") == 200);
  mesh.AwaitService(old_instance, "/idem/0");
  mesh.AwaitService(new_instance, "/idem/0");
  REQUIRE(fixture.SendMany(old_instance, 30) == 30);
  REQUIRE(fixture.SendMany(new_instance, 30) == 30);
  REQUIRE(old_runs > 0);
  REQUIRE(new_runs > 0);
}

// Guards against an order on a later page of the table, and against rows that
// are not readable.
TEST_CASE("orders are read over several answers") {
  RolloutFixture fixture;
  MeshFixture& mesh = fixture.mesh;
  mesh.store().set_rows_per_answer(1);
  mesh.store().Put("op", "rollout/aaa", "no JSON");
  mesh.store().Put("op", "rollout/booking", kOrder);
  int old_runs = 0;
  int new_runs = 0;
  Instance& old_instance = fixture.Add(old_runs);
  Instance& new_instance = fixture.Add(new_runs);
  REQUIRE(fixture.Announce(old_instance, "v1") == 200);
  mesh.AwaitService(old_instance, "/idem/0");
  REQUIRE(fixture.Announce(new_instance, "v2") == 200);
  mesh.AwaitService(new_instance, "/idem/0");
  new_runs = 0;
  REQUIRE(fixture.SendMany(old_instance, 30) == 30);
  REQUIRE(fixture.SendMany(new_instance, 30) == 30);
  REQUIRE(new_runs == 0);
  fixture.AwaitMetric(old_instance, "malformed_orders_total");
}

// A service of two old and two new backend servers, with an order.
class TrialFixture : public RolloutFixture {
 public:
  // `answers_bad` tells whether a request to a new backend server fails.
  // The hook is called when the old ones serve, before the order is written.
  explicit TrialFixture(
      const std::function<bool()>& answers_bad,
      const std::function<void(TrialFixture&)>& before_order = {},
      FeatureMode mode = FeatureMode::kOn)
      : RolloutFixture(mode) {
    const auto add = [&](int& runs, std::string_view version,
                         std::function<bool()> is_bad) {
      Instance& instance = mesh.AddInstance(
          "booking",
          [&runs, is_bad = std::move(is_bad)](const RawRequest& request) {
            ++runs;
            constexpr int kFailure = 500;
            constexpr int kSuccess = 200;
            const bool is_long = request.target() == "/once/long";
            return RawReply{
                .bytes = StampedAnswer(request.target(),
                                       is_bad() ? kFailure : kSuccess),
                .delay = milliseconds(is_long ? 900 : 10)};
          });
      instance.settings.deployment.rollouts = mode;
      mesh.KillNode(instance);
      mesh.StartNode(instance);
      REQUIRE(Announce(instance, version) == 200);
      instances.push_back(&instance);
    };
    for (int i = 0; i < 2; ++i) add(old_runs, "v1", [] { return false; });
    mesh.AwaitService(*instances[0], "/idem/0");
    if (before_order) before_order(*this);
    mesh.store().Put("op", "rollout/booking",
                     R"({"service":"booking","to":"v2","duration_s":16})");
    for (int i = 0; i < 2; ++i) add(new_runs, "v2", answers_bad);
  }

  std::string status() const {
    return mesh.store().Find("status", "rollout/booking");
  }

  bool has_status(std::string_view state) const {
    return status().find(state) != std::string::npos;
  }

  // Keeps four requests in progress until the condition holds.
  void RunTraffic(const std::function<bool()>& condition,
                  Duration limit = std::chrono::seconds(20)) {
    std::vector<std::shared_ptr<std::optional<ClientAnswer>>> requests;
    std::size_t next = 0;
    mesh.RunUntil(
        [&] {
          std::erase_if(requests, [&](const auto& answer) {
            if (!answer->has_value()) return false;
            ++answered[(*answer)->status];
            return true;
          });
          while (requests.size() < 4) {
            requests.push_back(mesh.Begin(*instances[next++ % ingress_count],
                                          "GET", "/idem/1"));
          }
          return condition();
        },
        limit);
    mesh.RunFor(milliseconds(100));
  }

  std::vector<Instance*> instances;
  // The ingresses that get requests: the first ones.
  std::size_t ingress_count = 2;
  std::map<int, int> answered;
  int old_runs = 0;
  int new_runs = 0;
};

// Guards against an order that is never completed, and against requests of the
// old version that are cut off at the end.
TEST_CASE("a good version is completed after the old one has finished") {
  TrialFixture fixture([] { return false; });
  MeshFixture& mesh = fixture.mesh;
  std::shared_ptr<std::optional<ClientAnswer>> running;
  int exposed = 0;
  fixture.RunTraffic([&] {
    if (fixture.has_status("completed")) return true;
    // Requests that run at the old version at any moment, also at the last.
    if (!running || running->has_value()) {
      if (running) REQUIRE((*running)->status == 200);
      running =
          mesh.Begin(*fixture.instances[0], "POST", "/once/long", "x", 3000);
    }
    if (fixture.has_status("running")) exposed = fixture.new_runs;
    return false;
  });
  REQUIRE(exposed > 0);
  const int old_runs = fixture.old_runs;
  mesh.RunUntil([&] { return running->has_value(); });
  REQUIRE((*running)->status == 200);
  REQUIRE(fixture.SendMany(*fixture.instances[1], 30) == 30);
  REQUIRE(fixture.old_runs == old_runs);
}

// Guards against a bad version that stays in service, or gets more than its
// share before it is rolled back.
TEST_CASE("a version that fails is rolled back") {
  int count = 0;
  // On demand, the order alone calls for a decider.
  const auto mode = GENERATE(FeatureMode::kOn, FeatureMode::kOnDemand);
  TrialFixture fixture([&] { return ++count % 2 == 0; }, {}, mode);
  fixture.RunTraffic([&] { return fixture.has_status("rolled_back"); });
  REQUIRE(fixture.new_runs > 0);
  REQUIRE(fixture.new_runs <= 50 + (fixture.old_runs + fixture.new_runs) / 10);
  const int new_runs = fixture.new_runs;
  REQUIRE(fixture.SendMany(*fixture.instances[2], 30) == 30);
  REQUIRE(fixture.new_runs == new_runs);
}

// Guards against a bad version that is not rolled back since its order is taken
// for cancelled: its row has a version that the store gave out before it
// returned from a copy (case review/7).
TEST_CASE("an order after the store's return is carried out") {
  int count = 0;
  TrialFixture fixture(
      [&] { return ++count % 2 == 0; },
      [](TrialFixture& self) {
        MeshFixture& mesh = self.mesh;
        const auto copy = mesh.store().MakeCopy();
        constexpr int kChanges = 12;
        for (int version = 2; version <= kChanges; ++version) {
          mesh.store().Put("op", "config", ConfigurationText(version));
        }
        // Its node reads the orders at the store's greatest version.
        Instance& joined =
            mesh.AddInstance("booking", [](const RawRequest& request) {
              return RawReply{.bytes = StampedAnswer(request.target(), 200)};
            });
        joined.settings.deployment.rollouts = FeatureMode::kOn;
        mesh.KillNode(joined);
        mesh.StartNode(joined);
        REQUIRE(self.Announce(joined, "v1") == 200);
        mesh.AwaitService(joined, "/idem/0");
        REQUIRE(mesh.Announce(joined, "draining") == 200);
        mesh.store().ReturnFrom(*copy);
        mesh.store().Put("op", "config", ConfigurationText(kChanges));
        mesh.RunFor(milliseconds(1500));
      });
  fixture.RunTraffic([&] { return fixture.has_status("rolled_back"); });
  REQUIRE(fixture.new_runs > 0);
  REQUIRE(fixture.new_runs <= 50 + (fixture.old_runs + fixture.new_runs) / 10);
}

// Guards against an order that nobody carries on: the process of the
// coordinator ends at different moments of the roll-out and starts again.
TEST_CASE("a roll-out survives the death of its decider") {
  const milliseconds delay(GENERATE(100, 2500, 4400));
  TrialFixture fixture([] { return false; });
  MeshFixture& mesh = fixture.mesh;
  fixture.RunTraffic([&] { return fixture.has_status("running"); });
  const MonotonicTime moment = MonotonicClock::now() + delay;
  fixture.RunTraffic([&] { return MonotonicClock::now() >= moment; });
  REQUIRE(fixture.has_status("running"));
  const std::string lease =
      mesh.store().Find("oleandertide-coordination", "coordinator");
  for (Instance* instance : fixture.instances) {
    if (lease.find('"' + instance->settings.node.name + '"') ==
        std::string::npos) {
      continue;
    }
    mesh.KillNode(*instance);
    mesh.StartNode(*instance);
    const bool is_new =
        instance == fixture.instances[2] || instance == fixture.instances[3];
    REQUIRE(fixture.Announce(*instance, is_new ? "v2" : "v1") == 200);
  }
  fixture.RunTraffic([&] { return fixture.has_status("completed"); });
}

}  // namespace
}  // namespace oleandertide::sidecar
