#include <catch2/catch.hpp>
#include <iostream>
#include <string>

#include "claim_world.h"
#include "support/property.h"

namespace oleandertide::idempotency {
namespace {

constexpr int kCases = 200;
constexpr std::uint64_t kSeedsUntilBroken = 300;

std::string RunWorld(std::uint64_t seed, const ClaimWorldOptions& options) {
  return ClaimWorld(seed, options).Run();
}

// Returns whether the rule is broken for one of the first seeds.
bool IsBroken(const std::string& rule, const ClaimWorldOptions& options) {
  for (std::uint64_t seed = 0; seed < kSeedsUntilBroken; ++seed) {
    if (RunWorld(seed, options) == rule) return true;
  }
  return false;
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
  const std::string ran_twice = "a key ran twice";
  CHECK(IsBroken(ran_twice, {.checks_conditions = false}));
  CHECK(IsBroken(ran_twice, {.separates_attempts = false}));
  CHECK(IsBroken(ran_twice,
                 {.lost_answers = LostAnswerReport::kTakenAsCommitted}));
  CHECK(IsBroken("a key that never ran cannot be claimed",
                 {.has_process_faults = false,
                  .lost_answers = LostAnswerReport::kTakenAsNotWritten}));
}

}  // namespace
}  // namespace oleandertide::idempotency
