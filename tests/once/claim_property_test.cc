#include <catch2/catch.hpp>
#include <iostream>
#include <map>

#include "claim_world.h"
#include "support/property.h"

namespace oleandertide::once {
namespace {

constexpr int kCases = 500;

std::string RunWorld(std::uint64_t seed, const ClaimWorldOptions& options) {
  return ClaimWorld(seed, options).Run();
}

// Counts the broken rules over fixed seeds.
std::map<std::string, int> CountViolations(const ClaimWorldOptions& options) {
  std::map<std::string, int> violations;
  for (std::uint64_t seed = 0; seed < kCases; ++seed) {
    const std::string rule = RunWorld(seed, options);
    if (!rule.empty()) ++violations[rule];
  }
  return violations;
}

bool HoldsWith(const ClaimWorldOptions& options) {
  return testing::HoldsForSeeds(
      "claims", kCases, [&options](std::uint64_t seed) {
        const std::string rule = RunWorld(seed, options);
        if (!rule.empty()) std::cerr << "seed " << seed << ": " << rule << "\n";
        return rule.empty();
      });
}

// Guards against a second run, and an answer other than the first, under lost
// answers, late writes, outages, restarts and lost messages.
TEST_CASE("no key runs twice") { REQUIRE(HoldsWith({})); }

// Guards against a key that stays blocked although its request never ran and
// its callers were told so.
TEST_CASE("a key that did not run can be claimed again") {
  REQUIRE(HoldsWith({.has_process_faults = false}));
}

// Shows that the properties fail without the mechanisms that they test.
TEST_CASE("each mechanism of the claim writer is needed") {
  CHECK(CountViolations({.checks_conditions = false})["a key ran twice"] > 0);
  CHECK(CountViolations({.separates_attempts = false})["a key ran twice"] > 0);
  CHECK(CountViolations(
            {.lost_answers =
                 LostAnswerReport::kTakenAsCommitted})["a key ran twice"] > 0);
  CHECK(CountViolations({.has_process_faults = false,
                         .lost_answers = LostAnswerReport::kTakenAsNotWritten})
            ["a key that never ran cannot be claimed"] > 0);
}

}  // namespace
}  // namespace oleandertide::once
