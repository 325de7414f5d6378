// Limits that the settings do not tell.

#include "sidecar/settings.h"

#include <catch2/catch.hpp>

namespace oleandertide::sidecar {

// Guards against a process without any bound because nobody told it one.
TEST_CASE("limits of the system hold where the settings tell none") {
  const ProcessLimits limits{.memory_bytes = 160'000'000, .descriptors = 1024};
  SidecarSettings settings;
  settings.UseLimits(limits);
  REQUIRE(settings.node.memory_mb == 160);
  REQUIRE(settings.node.descriptors == 1024);

  settings.UseLimits({.memory_bytes = 1, .descriptors = 1});
  REQUIRE(settings.node.memory_mb == 160);
  REQUIRE(settings.node.descriptors == 1024);
}

TEST_CASE("unlimited is said explicitly") {
  SidecarSettings settings;
  settings.node.is_unlimited = true;
  settings.UseLimits({.memory_bytes = 160'000'000, .descriptors = 1024});
  REQUIRE(settings.node.memory_mb == 0);
  REQUIRE(settings.node.descriptors == 0);
}

}  // namespace oleandertide::sidecar
