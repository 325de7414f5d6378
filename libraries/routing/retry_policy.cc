#include "routing/retry_policy.h"

namespace oleandertide::routing {
namespace {

// Attempts per request. Two retries usually find a free server; more would
// occupy a worker thread for a request that most likely fails.
constexpr int kMaxAttempts = 3;

// Under overload, most refused requests are lookups. Without this reserve their
// retries would exhaust the budget, and refused bookings would not be retried
// at a server with free capacity.
constexpr std::int64_t kRetriesReservedFromLookups =
    RetryBudget::NotRunOptions().max_saved_retries / 2;

// "Not run" contradicts a reason that implies a hand-over to the backend
// server. Returns such a result with the outcome "unknown", others unchanged.
AttemptResult ContradictionAsUnknown(const AttemptResult& result) {
  const bool is_contradiction = result.outcome == Outcome::kNotRun &&
                                result.reason != Reason::kCallerGone &&
                                DefaultOutcome(result.reason) != result.outcome;
  if (!is_contradiction) return result;
  return {Outcome::kUnknown, result.reason};
}

// Returns true if every rule except the retry budget permits a retry.
bool IsPermitted(const RetryContext& context, const AttemptResult& last) {
  if (context.attempts >= kMaxAttempts) return false;
  if (!context.has_other_endpoint) return false;
  if (context.now + context.min_attempt_time >= context.deadline) return false;
  if (!IsWorthRetryingElsewhere(last.reason)) return false;
  switch (last.outcome) {
    case Outcome::kNotRun:
      return true;
    case Outcome::kUnknown:
      return context.route_is_repeatable && !context.is_marked_as_retry;
    case Outcome::kComplete:
      return false;
  }
  return false;
}

// Returns the result that the caller receives after the last attempt.
AttemptResult ResultForCaller(const RetryContext& context,
                              const AttemptResult& last) {
  if (!context.had_unknown_attempt) return last;
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
      now, IsShedFirst(request_class) ? kRetriesReservedFromLookups : 0);
}

void RetryPolicy::RecordFirstAttempt() {
  std::visit([](auto& budget) { budget.RecordFirstAttempt(); }, budget_);
}

RetryDecision RetryPolicy::Decide(const RetryContext& context) {
  const AttemptResult last = ContradictionAsUnknown(context.last);
  if (!IsPermitted(context, last)) {
    return GiveUp{ResultForCaller(context, last)};
  }
  const bool has_budget = std::visit(
      [&](auto& budget) {
        return budget.TryTake(last.outcome, context.request_class, context.now);
      },
      budget_);
  if (!has_budget) {
    AttemptResult refused = last;
    if (last.outcome == Outcome::kNotRun) {
      refused.reason = Reason::kRetryBudgetExhausted;
    }
    return GiveUp{ResultForCaller(context, refused)};
  }
  return SendAgain{.is_marked_as_retry = context.is_marked_as_retry ||
                                         last.outcome == Outcome::kUnknown};
}

}  // namespace oleandertide::routing
