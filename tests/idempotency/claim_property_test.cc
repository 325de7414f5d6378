#include <catch2/catch.hpp>
#include <iostream>
#include <string>

#include "claim_simulation.h"
#include "support/property.h"

namespace oleandertide::idempotency {
namespace {

constexpr int kCases = 200;
constexpr std::uint64_t kMaxSeedsUntilBroken = 300;

std::string RunSimulation(std::uint64_t seed,
                          const ClaimSimulationOptions& options) {
  return ClaimSimulation(seed, options).Run();
}

// Returns whether one of the first seeds violates the rule.
bool IsBroken(const std::string& rule, const ClaimSimulationOptions& options) {
  for (std::uint64_t seed = 0; seed < kMaxSeedsUntilBroken; ++seed) {
    if (RunSimulation(seed, options) == rule) return true;
  }
  return false;
}

bool HoldsForAllSeeds(const ClaimSimulationOptions& options) {
  return testing::HoldsForSeeds(
      "claims", kCases, [&options](std::uint64_t seed) {
        const std::string rule = RunSimulation(seed, options);
        if (!rule.empty()) std::cerr << "seed " << seed << ": " << rule << "\n";
        return rule.empty();
      });
}

// Guards against a second run of a request, and against a repeat that gets
// another answer than the first, under lost answers, delayed writes, outages,
// restarts and lost messages.
TEST_CASE("no key runs twice") { REQUIRE(HoldsForAllSeeds({})); }

// Guards against a key that stays blocked although its request never ran and
// its callers were told so.
TEST_CASE("a key that did not run can be claimed again") {
  REQUIRE(HoldsForAllSeeds({.has_process_faults = false}));
}

// Shows that the properties fail without the mechanisms that they test.
TEST_CASE("each mechanism of the claim writer is needed") {
  const std::string ran_twice = "a key ran twice";
  CHECK(IsBroken(ran_twice, {.checks_conditions = false}));
  CHECK(IsBroken(ran_twice, {.separates_attempts = false}));
  CHECK(IsBroken(ran_twice, {.lost_answers = LostAnswerReport::kCommitted}));
  CHECK(IsBroken("a key that never ran cannot be claimed",
                 {.has_process_faults = false,
                  .lost_answers = LostAnswerReport::kNotWritten}));
}

}  // namespace
}  // namespace oleandertide::idempotency
