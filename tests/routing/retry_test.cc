#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "core/random.h"
#include "routing/retry_policy.h"

namespace oleandertide::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RetryQuestion Question(Outcome outcome, Reason reason) {
  return {.last = {outcome, reason},
          .has_other_endpoint = true,
          .now = MonotonicTime(seconds(100)),
          .deadline = MonotonicTime(seconds(101))};
}

bool IsSentAgain(const RetryQuestion& question) {
  RetryPolicy policy(std::in_place_type<UnlimitedRetries>);
  return std::holds_alternative<SendAgain>(policy.Decide(question));
}

// Guards against a booking that runs twice because its first attempt was
// repeated without certainty.
TEST_CASE("a request that must not be repeated is retried only after not-run") {
  REQUIRE(IsSentAgain(Question(Outcome::kNotRun, Reason::kQueueFull)));
  REQUIRE(IsSentAgain(Question(Outcome::kNotRun, Reason::kConnectFailed)));
  REQUIRE_FALSE(
      IsSentAgain(Question(Outcome::kUnknown, Reason::kConnectionLost)));
  // A contradictory report counts as unknown.
  REQUIRE_FALSE(
      IsSentAgain(Question(Outcome::kNotRun, Reason::kBackendServerDied)));
}

// Guards against retries that cannot succeed or that multiply along a chain.
TEST_CASE("retries need another endpoint, time, and an unmarked request") {
  RetryQuestion question = Question(Outcome::kUnknown, Reason::kConnectionLost);
  question.route_is_repeatable = true;
  REQUIRE(IsSentAgain(question));

  RetryQuestion marked = question;
  marked.is_marked_as_retry = true;
  REQUIRE_FALSE(IsSentAgain(marked));

  RetryQuestion alone = question;
  alone.has_other_endpoint = false;
  REQUIRE_FALSE(IsSentAgain(alone));

  RetryQuestion late = question;
  late.now = late.deadline - Duration(1000);
  REQUIRE_FALSE(IsSentAgain(late));

  REQUIRE_FALSE(IsSentAgain(Question(Outcome::kNotRun, Reason::kRouteRetired)));
  REQUIRE_FALSE(IsSentAgain(Question(Outcome::kNotRun, Reason::kQuarantined)));
}

// Guards against a caller that is told nothing about the budget, or is told
// "not run" after an unknown outcome.
TEST_CASE("an exhausted budget keeps the outcome of the last attempt") {
  RetryPolicy policy;
  RetryQuestion question = Question(Outcome::kNotRun, Reason::kShed);
  REQUIRE(std::holds_alternative<SendAgain>(policy.Decide(question)));
  const auto refused = std::get<GiveUp>(policy.Decide(question)).result;
  REQUIRE(refused.outcome == Outcome::kNotRun);
  REQUIRE(refused.reason == Reason::kRetryBudgetExhausted);

  question = Question(Outcome::kUnknown, Reason::kConnectionLost);
  question.route_is_repeatable = true;
  const RetryDecision first = policy.Decide(question);
  REQUIRE(std::get<SendAgain>(first).is_marked_as_retry);
  const auto unknown = std::get<GiveUp>(policy.Decide(question)).result;
  REQUIRE(unknown.outcome == Outcome::kUnknown);
  REQUIRE(unknown.reason == Reason::kConnectionLost);
}

// Guards against "not run" for a request whose first attempt may have run and
// whose second one was refused.
TEST_CASE("an unknown attempt is not forgotten after a refused retry") {
  RetryPolicy policy(std::in_place_type<UnlimitedRetries>);
  RetryQuestion question = Question(Outcome::kNotRun, Reason::kQueueFull);
  question.had_unknown_attempt = true;
  question.has_other_endpoint = false;
  const auto result = std::get<GiveUp>(policy.Decide(question)).result;
  REQUIRE(result.outcome == Outcome::kUnknown);
  REQUIRE(result.reason == Reason::kQueueFull);
}

// One request through a chain of services that all fail. Every hop is one
// policy, as if one node ran the service.
class FailingChain {
 public:
  FailingChain(int depth, bool has_budget, double not_run_share,
               double unknown_share)
      : not_run_share_(not_run_share), unknown_share_(unknown_share) {
    for (int i = 0; i < depth; ++i) {
      if (has_budget) {
        policies_.push_back(std::make_unique<RetryPolicy>());
      } else {
        policies_.push_back(std::make_unique<RetryPolicy>(
            std::in_place_type<UnlimitedRetries>));
      }
    }
    arrivals_.resize(static_cast<std::size_t>(depth) + 1);
  }

  // Sends one request from hop `hop`; returns the outcome of its last attempt.
  Outcome Call(std::size_t hop, bool is_marked, MonotonicTime now) {
    if (hop == policies_.size()) return Outcome::kComplete;
    policies_[hop]->RecordFirstAttempt();
    RetryQuestion question = Question(Outcome::kNotRun, Reason::kShed);
    question.now = now;
    question.deadline = now + seconds(1);
    question.route_is_repeatable = true;
    question.is_marked_as_retry = is_marked;
    for (;; ++question.attempts) {
      question.last = Attempt(hop, question.is_marked_as_retry, now);
      if (question.last.outcome == Outcome::kComplete) {
        return Outcome::kComplete;
      }
      const RetryDecision decision = policies_[hop]->Decide(question);
      if (!std::holds_alternative<SendAgain>(decision)) {
        return question.last.outcome;
      }
      question.is_marked_as_retry =
          std::get<SendAgain>(decision).is_marked_as_retry;
    }
  }

  // Attempts that arrived at the last service.
  double last_arrivals() const {
    return static_cast<double>(arrivals_[policies_.size() - 1]);
  }

 private:
  AttemptResult Attempt(std::size_t hop, bool is_marked, MonotonicTime now) {
    ++arrivals_[hop];
    if (random_.Unit() < not_run_share_) {
      return {Outcome::kNotRun, Reason::kShed};
    }
    const Outcome further = Call(hop + 1, is_marked, now);
    if (further != Outcome::kComplete || random_.Unit() < unknown_share_) {
      return {Outcome::kUnknown, Reason::kConnectionLost};
    }
    return {Outcome::kComplete, Reason::kConnectionLost};
  }

  RandomSource random_{11};
  double not_run_share_;
  double unknown_share_;
  std::vector<std::unique_ptr<RetryPolicy>> policies_;
  std::vector<std::int64_t> arrivals_;
};

double Amplification(bool has_budget, double not_run_share,
                     double unknown_share, int requests) {
  constexpr int kDepth = 14;
  FailingChain chain(kDepth, has_budget, not_run_share, unknown_share);
  for (int i = 0; i < requests; ++i) {
    // 67 requests a second, the load of one node.
    chain.Call(0, false, MonotonicTime(Duration(i * 15'000)));
  }
  // Requests that reach the last service without any retry.
  double expected = requests;
  for (int i = 1; i < kDepth; ++i) expected *= 1 - not_run_share;
  return chain.last_arrivals() / expected;
}

// Guards against a retry storm: retries at 14 levels multiply. In a full
// failure nothing is refused on the way, and the last service always fails.
TEST_CASE("retries along a chain of 14 stay within 1.1") {
  // Off: 3 attempts at each of 14 levels would be 3^14; few requests suffice.
  REQUIRE(Amplification(false, 0, 0.05, 300) > 1.5);
  REQUIRE(Amplification(true, 0, 0.05, 20'000) <= 1.1);
  REQUIRE(Amplification(true, 0, 1, 20'000) <= 1.1);
}

// Guards against the same storm out of refusals: the last service refuses all.
TEST_CASE("retries after not-run do not multiply along the chain") {
  const auto at_last_service = [](bool has_budget) {
    FailingChain chain(1, has_budget, 1, 0);
    for (int i = 0; i < 20'000; ++i) {
      chain.Call(0, false, MonotonicTime(Duration(i * 15'000)));
    }
    return chain.last_arrivals() / 20'000;
  };
  REQUIRE(at_last_service(false) > 2.9);
  REQUIRE(at_last_service(true) <= 1.051);
}

// Guards against a floor that is not bounded: a node with little traffic may
// retry once in an interval, and never faster.
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
