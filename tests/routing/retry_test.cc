#include <catch2/catch.hpp>
#include <chrono>

#include "routing/retry_chain.h"
#include "routing/retry_policy.h"

namespace oleandertide::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RetryContext MakeContext(Outcome outcome, Reason reason) {
  return {.last = {outcome, reason},
          .has_other_endpoint = true,
          .now = MonotonicTime(seconds(100)),
          .deadline = MonotonicTime(seconds(101))};
}

bool IsSentAgain(const RetryContext& context) {
  RetryPolicy policy(std::in_place_type<UnlimitedRetries>);
  return std::holds_alternative<SendAgain>(policy.Decide(context));
}

// Guards against a booking that runs twice because it was retried although its
// first attempt may have run.
TEST_CASE("a request that must not be repeated is retried only after not-run") {
  REQUIRE(IsSentAgain(MakeContext(Outcome::kNotRun, Reason::kQueueFull)));
  REQUIRE(IsSentAgain(MakeContext(Outcome::kNotRun, Reason::kConnectFailed)));
  REQUIRE_FALSE(
      IsSentAgain(MakeContext(Outcome::kUnknown, Reason::kConnectionLost)));
  // A lost connection contradicts "not run" and counts as unknown.
  REQUIRE_FALSE(
      IsSentAgain(MakeContext(Outcome::kNotRun, Reason::kConnectionLost)));
}

// Guards against retries that cannot succeed or that multiply along a chain.
TEST_CASE("retries need another endpoint, time, and an unmarked request") {
  RetryContext context =
      MakeContext(Outcome::kUnknown, Reason::kConnectionLost);
  context.route_is_repeatable = true;
  REQUIRE(IsSentAgain(context));

  RetryContext crashing = context;
  crashing.last.reason = Reason::kBackendServerDied;
  REQUIRE_FALSE(IsSentAgain(crashing));

  RetryContext marked = context;
  marked.is_marked_as_retry = true;
  REQUIRE_FALSE(IsSentAgain(marked));

  RetryContext alone = context;
  alone.has_other_endpoint = false;
  REQUIRE_FALSE(IsSentAgain(alone));

  RetryContext late = context;
  late.now = late.deadline - Duration(1000);
  REQUIRE_FALSE(IsSentAgain(late));

  REQUIRE_FALSE(
      IsSentAgain(MakeContext(Outcome::kNotRun, Reason::kRouteRetired)));
  REQUIRE_FALSE(
      IsSentAgain(MakeContext(Outcome::kNotRun, Reason::kQuarantined)));
}

// Guards against a refusal that does not name the exhausted budget, and against
// "not run" as the result after an unknown outcome.
TEST_CASE("an exhausted budget keeps the outcome of the last attempt") {
  RetryPolicy policy;
  RetryContext context = MakeContext(Outcome::kNotRun, Reason::kShed);
  REQUIRE(std::holds_alternative<SendAgain>(policy.Decide(context)));
  const auto refused = std::get<GiveUp>(policy.Decide(context)).result;
  REQUIRE(refused.outcome == Outcome::kNotRun);
  REQUIRE(refused.reason == Reason::kRetryBudgetExhausted);

  context = MakeContext(Outcome::kUnknown, Reason::kConnectionLost);
  context.route_is_repeatable = true;
  const RetryDecision first = policy.Decide(context);
  REQUIRE(std::get<SendAgain>(first).is_marked_as_retry);
  const auto unknown = std::get<GiveUp>(policy.Decide(context)).result;
  REQUIRE(unknown.outcome == Outcome::kUnknown);
  REQUIRE(unknown.reason == Reason::kConnectionLost);
}

// Guards against retries of lookups that exhaust the budget for bookings.
TEST_CASE("lookups leave retries to bookings") {
  RetryPolicy policy;
  for (int i = 0; i < 10'000; ++i) policy.RecordFirstAttempt();
  RetryContext context = MakeContext(Outcome::kNotRun, Reason::kQueueFull);
  const auto count = [&] {
    int sent = 0;
    while (std::holds_alternative<SendAgain>(policy.Decide(context))) ++sent;
    return sent;
  };
  REQUIRE(count() == 6);  // Five of ten saved retries, and a borrowed one.
  context.request_class = RequestClass::kBooking;
  REQUIRE(count() == 4);
}

// Guards against "not run" as the result of a request whose first attempt may
// have run and whose second attempt was refused.
TEST_CASE("an unknown attempt is not forgotten after a refused retry") {
  RetryPolicy policy(std::in_place_type<UnlimitedRetries>);
  RetryContext context = MakeContext(Outcome::kNotRun, Reason::kQueueFull);
  context.had_unknown_attempt = true;
  context.has_other_endpoint = false;
  const auto result = std::get<GiveUp>(policy.Decide(context)).result;
  REQUIRE(result.outcome == Outcome::kUnknown);
  REQUIRE(result.reason == Reason::kQueueFull);
}

double Amplification(const RetryChainOptions& options) {
  return RetryChain(options).MeasureAmplification();
}

// Guards against a retry storm: retries at 14 levels multiply.
TEST_CASE("retries along a chain of 14 stay within 1.1") {
  // Without a budget, few failures exceed the limit. If every attempt failed,
  // there would be 3^14 attempts.
  REQUIRE(Amplification({.has_budget = false, .unknown_share = 0.02}) > 1.3);
  REQUIRE(Amplification({.has_budget = false, .not_run_share = 0.5}) > 2);
  for (const double not_run : {0.0, 0.05, 0.5, 1.0}) {
    for (const double unknown : {0.0, 0.02, 0.5, 1.0}) {
      REQUIRE(Amplification(
                  {.not_run_share = not_run, .unknown_share = unknown}) <= 1.1);
    }
  }
}

// Guards against unlimited borrowing: a node with little traffic may retry at
// most once per borrow interval.
TEST_CASE("the floor for low traffic is bounded by time") {
  RetryBudget budget(RetryBudget::NotRunOptions());
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    if (budget.TryTake(MonotonicTime(milliseconds(100 * i)))) ++taken;
  }
  REQUIRE(taken == 10);  // 100 s, one retry each 10 s.
}

}  // namespace
}  // namespace oleandertide::routing
