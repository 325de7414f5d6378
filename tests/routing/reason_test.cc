#include "routing/reason.h"

#include <catch2/catch.hpp>

#include "routing/request_class.h"

namespace oleandertide::routing {
namespace {

// Guards against counters and problem documents that name a reason differently
// on two nodes: names are part of the interface.
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

// Guards against "not run" being reported for a request that may have run, in
// which case its caller would repeat a booking.
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
