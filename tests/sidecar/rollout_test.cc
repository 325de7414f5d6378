// Orders to roll out a version, from the store to the ingresses.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "sidecar/mesh_fixture.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;

constexpr char kOrder[] = R"({"service":"booking","to":"v2","duration_s":1.5})";

// Backend servers of `booking` that count their requests by version.
class RolloutFixture {
 public:
  explicit RolloutFixture(bool has_rollouts = true)
      : has_rollouts_(has_rollouts) {}

  Instance& Add(int& runs) {
    Instance& instance =
        mesh.AddInstance("booking", [&runs](const RawRequest& request) {
          ++runs;
          return RawReply{.bytes = StampedAnswer(request.target())};
        });
    instance.settings.deployment.has_rollouts = has_rollouts_;
    mesh.KillNode(instance);
    mesh.StartNode(instance);
    return instance;
  }

  int Announce(Instance& instance, std::string_view version) {
    return mesh.AnnounceText(
        instance,
        fmt::format(R"({{"service":"booking","address":"{}","version":"{}",)"
                    R"("slots":2,"state":"ready","seq":{},"born":1000}})",
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

  MeshFixture mesh;

 private:
  const bool has_rollouts_;
};

// Guards against a version on trial that gets requests from ingresses that do
// not know the order yet: the order exists before its backend servers, and no
// decider has begun the trial.
TEST_CASE("a version that was ordered gets nothing before its trial") {
  RolloutFixture fixture;
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
  RolloutFixture fixture(false);
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

}  // namespace
}  // namespace oleandertide::sidecar
