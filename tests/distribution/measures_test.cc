// Counted bounds from the stated targets. The benchmark measures the same at
// more sizes.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "distribution/fake_mesh.h"

namespace oleandertide::distribution {
namespace {

using std::chrono::seconds;

constexpr Duration kConvergenceTarget = seconds(7);
constexpr std::uint64_t kBytesPerSecondTarget = 27000;
constexpr std::uint64_t kMeasuredSeconds = 20;

struct Measures {
  Duration worst_convergence{};
  std::uint64_t largest_bytes_per_second = 0;  // sent and received
  std::uint64_t platform_reads = 0;
};

Measures Measure(std::size_t nodes_per_data_centre, bool every_node_polls) {
  MeshConfig config;
  config.data_centres = {
      {"dc1", "r1"}, {"dc2", "r1"}, {"dc3", "r2"}, {"dc4", "r2"}};
  config.nodes_per_data_centre = nodes_per_data_centre;
  config.options.every_node_polls = every_node_polls;
  FakeMesh mesh(config);
  mesh.Promote();
  mesh.StartAll();
  mesh.RunFor(seconds(30));
  mesh.ResetMeasures();
  mesh.RunFor(seconds(static_cast<std::int64_t>(kMeasuredSeconds)));
  Measures measures;
  measures.platform_reads = mesh.platform_reads();
  for (const FakeMesh::Node& node : mesh.nodes()) {
    measures.largest_bytes_per_second =
        std::max(measures.largest_bytes_per_second,
                 (node.bytes_sent + node.bytes_received) / kMeasuredSeconds);
  }
  mesh.loss = 0.05;
  for (int i = 0; i < 5; ++i) {
    const std::uint64_t sequence = mesh.Promote();
    const auto taken =
        mesh.RunUntil([&] { return mesh.AllActive(sequence); }, seconds(60));
    measures.worst_convergence =
        std::max(measures.worst_convergence, taken.value_or(seconds(60)));
  }
  REQUIRE(mesh.violations().empty());
  return measures;
}

// Guards against changes that make convergence, control bytes or the load of
// the platform miss the targets, or grow with the fleet.
TEST_CASE("convergence, control bytes and platform reads keep the targets") {
  const Measures small = Measure(5, false);
  const Measures large = Measure(20, false);
  for (const Measures& measures : {small, large}) {
    CHECK(measures.worst_convergence <= kConvergenceTarget);
    CHECK(measures.largest_bytes_per_second <= kBytesPerSecondTarget);
    // Two readers in each of four data centres, and the contacts rows.
    CHECK(measures.platform_reads <= 10 * kMeasuredSeconds);
  }
  const Measures baseline = Measure(20, true);
  CHECK(baseline.platform_reads > 4 * large.platform_reads);
}

}  // namespace
}  // namespace oleandertide::distribution
