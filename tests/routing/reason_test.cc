#include "routing/reason.h"

#include <catch2/catch.hpp>

#include "routing/request_class.h"

namespace oleandertide::routing {
namespace {

// Names of reasons are part of the interface: two nodes must not use different
// names for a reason in counters and problem documents.
TEST_CASE("reasons are found by their stable names") {
  REQUIRE(AllReasons().size() == 25);
  for (const Reason reason : AllReasons()) {
    REQUIRE(FindReason(ReasonName(reason)) == reason);
    REQUIRE(HttpStatus(reason) >= 400);
  }
  REQUIRE(ReasonName(Reason::kQueueFull) == "queue-full");
  REQUIRE_FALSE(FindReason("no-such-reason").has_value());
  REQUIRE(FindOutcome("not-run") == Outcome::kNotRun);
  REQUIRE(FindRequestClass("payment") == RequestClass::kPayment);
}

// If kNotRun is reported for a request that may have run, its caller may repeat
// the booking.
TEST_CASE("not-run is reported only when it is certain") {
  for (const Reason reason : AllReasons()) {
    REQUIRE(OutcomeOf(reason, HandOver::kReached) == Outcome::kUnknown);
    REQUIRE(OutcomeOf(reason, HandOver::kUncertain) == Outcome::kUnknown);
  }
  REQUIRE(OutcomeOf(Reason::kCallerGone, HandOver::kNotReached) ==
          Outcome::kNotRun);
  REQUIRE(OutcomeOf(Reason::kAlreadyRunning, HandOver::kNotReached) ==
          Outcome::kUnknown);
  REQUIRE(OutcomeOf(Reason::kAnswerNotKept, HandOver::kNotReached) ==
          Outcome::kUnknown);
}

}  // namespace
}  // namespace oleandertide::routing
