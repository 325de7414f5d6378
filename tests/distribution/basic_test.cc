#include <catch2/catch.hpp>

#include "distribution/fake_mesh.h"

namespace oleandertide::distribution {
namespace {

constexpr Duration kTarget = std::chrono::seconds(7);

MeshConfig FourDataCentres(std::size_t nodes_per_data_centre) {
  MeshConfig config;
  config.data_centres = {
      {"dc1", "r1"}, {"dc2", "r1"}, {"dc3", "r2"}, {"dc4", "r2"}};
  config.nodes_per_data_centre = nodes_per_data_centre;
  return config;
}

// Guards against nodes that never join, never become ready or miss a version.
TEST_CASE("all nodes join, become ready and act on each promotion") {
  FakeMesh mesh(FourDataCentres(5));
  const std::uint64_t first = mesh.Promote();
  mesh.StartAll();
  const auto ready = mesh.RunUntil([&] { return mesh.AllActive(first); },
                                   std::chrono::seconds(20));
  REQUIRE(ready.has_value());
  mesh.RunFor(std::chrono::seconds(5));
  REQUIRE(mesh.AllStanding(Standing::kConfirmed));
  for (int i = 0; i < 5; ++i) {
    const std::uint64_t sequence = mesh.Promote();
    const auto taken =
        mesh.RunUntil([&] { return mesh.AllActive(sequence); }, kTarget);
    REQUIRE(taken.has_value());
  }
  REQUIRE(mesh.violations().empty());
}

}  // namespace
}  // namespace oleandertide::distribution
