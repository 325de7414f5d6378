#include "routing/retry_policy.h"

namespace oleandertide::routing {
namespace {

// Two retries find a free server in practice; more would hold a worker thread
// for a request that most likely fails.
constexpr int kMaximumAttempts = 3;

// In overload mostly lookups are refused. Without a reserve their retries use
// up the budget, and refused bookings are not tried at a server that has room.
constexpr std::int64_t kReservedFromLookups =
    RetryBudget::NotRunOptions().saved_retries / 2;

// "Not run" together with a reason that implies a hand-over is a
// contradiction; the doubt counts as unknown.
AttemptResult WithoutDoubt(const AttemptResult& result) {
  const bool is_contradiction = result.outcome == Outcome::kNotRun &&
                                result.reason != Reason::kCallerGone &&
                                DefaultOutcome(result.reason) != result.outcome;
  if (!is_contradiction) return result;
  return {Outcome::kUnknown, result.reason};
}

// Returns true if the request may be sent again at all, budget aside.
bool IsPermitted(const RetryQuestion& question, const AttemptResult& last) {
  if (question.attempts >= kMaximumAttempts) return false;
  if (!question.has_other_endpoint) return false;
  if (question.now + question.expected_time >= question.deadline) return false;
  if (!IsWorthRetryingElsewhere(last.reason)) return false;
  switch (last.outcome) {
    case Outcome::kNotRun:
      return true;
    case Outcome::kUnknown:
      return question.route_is_repeatable && !question.is_marked_as_retry;
    case Outcome::kComplete:
      return false;
  }
  return false;
}

// Returns what the caller is told after the last attempt.
AttemptResult ResultForCaller(const RetryQuestion& question,
                              const AttemptResult& last) {
  if (!question.had_unknown_attempt) return last;
  return {Outcome::kUnknown, last.reason};
}

}  // namespace

void BudgetedRetries::RecordFirstAttempt() {
  not_run_.RecordFirstAttempt();
  unknown_.RecordFirstAttempt();
}

bool BudgetedRetries::TryTake(Outcome outcome, RequestClass request_class,
                              MonotonicTime now) {
  if (outcome == Outcome::kUnknown) return unknown_.TryTake(now);
  return not_run_.TryTake(
      now, IsShedFirst(request_class) ? kReservedFromLookups : 0);
}

void RetryPolicy::RecordFirstAttempt() {
  std::visit([](auto& budget) { budget.RecordFirstAttempt(); }, budget_);
}

RetryDecision RetryPolicy::Decide(const RetryQuestion& question) {
  const AttemptResult last = WithoutDoubt(question.last);
  if (!IsPermitted(question, last)) {
    return GiveUp{ResultForCaller(question, last)};
  }
  const bool has_budget = std::visit(
      [&](auto& budget) {
        return budget.TryTake(last.outcome, question.request_class,
                              question.now);
      },
      budget_);
  if (!has_budget) {
    AttemptResult refused = last;
    if (last.outcome == Outcome::kNotRun) {
      refused.reason = Reason::kRetryBudgetExhausted;
    }
    return GiveUp{ResultForCaller(question, refused)};
  }
  return SendAgain{.is_marked_as_retry = question.is_marked_as_retry ||
                                         last.outcome == Outcome::kUnknown};
}

}  // namespace oleandertide::routing
