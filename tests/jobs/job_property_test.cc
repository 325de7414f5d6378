#include <catch2/catch.hpp>
#include <iostream>
#include <string>

#include "job_world.h"
#include "support/property.h"

namespace oleandertide::jobs {
namespace {

constexpr int kCases = 150;
constexpr std::uint64_t kSeedsUntilBroken = 300;

// Returns whether the rule is broken for one of the first seeds.
bool IsBroken(const std::string& rule, const JobWorldOptions& options) {
  for (std::uint64_t seed = 0; seed < kSeedsUntilBroken; ++seed) {
    if (JobWorld(seed, options).Run() == rule) return true;
  }
  return false;
}

// Guards against a second run of a due time, a run after the retirement is in
// force and a run long after its due time, under lost answers, late writes,
// pauses, restarts, clock steps and several holders at once.
TEST_CASE("a due time runs at most once and not after retirement") {
  int runs = 0;
  REQUIRE(testing::HoldsForSeeds("jobs", kCases, [&runs](std::uint64_t seed) {
    JobWorld world(seed, {});
    const std::string rule = world.Run();
    if (!rule.empty()) std::cerr << "seed " << seed << ": " << rule << "\n";
    runs += world.runs();
    return rule.empty();
  }));
  // Guards against a property that holds because nothing runs.
  REQUIRE(runs > 3 * kCases);
}

// Shows that the property fails without the mechanisms that it tests.
TEST_CASE("each mechanism of the scheduler is needed") {
  CHECK(IsBroken("a due time ran twice", {.checks_conditions = false}));
  CHECK(IsBroken("a due time ran twice", {.compares_tokens = false}));
  CHECK(IsBroken("a due time ran late", {.has_start_window = false}));
  CHECK(IsBroken("a retired job ran", {.has_receiver_check = false}));
}

}  // namespace
}  // namespace oleandertide::jobs
