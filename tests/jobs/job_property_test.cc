#include <catch2/catch.hpp>
#include <iostream>
#include <map>

#include "job_world.h"
#include "support/property.h"

namespace oleandertide::jobs {
namespace {

constexpr int kCases = 300;

std::map<std::string, int> CountViolations(const JobWorldOptions& options) {
  std::map<std::string, int> violations;
  for (std::uint64_t seed = 0; seed < kCases; ++seed) {
    const std::string rule = JobWorld(seed, options).Run();
    if (!rule.empty()) ++violations[rule];
  }
  return violations;
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
  CHECK(CountViolations({.checks_conditions = false})["a due time ran twice"] >
        0);
  CHECK(CountViolations({.compares_tokens = false})["a due time ran twice"] >
        0);
  CHECK(CountViolations({.has_start_window = false})["a due time ran late"] >
        0);
  CHECK(CountViolations({.has_receiver_check = false})["a retired job ran"] >
        0);
}

}  // namespace
}  // namespace oleandertide::jobs
