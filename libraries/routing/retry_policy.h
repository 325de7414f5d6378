// Decides whether to retry a call whose last attempt got no answer.

#ifndef OLEANDERTIDE_ROUTING_RETRY_POLICY_H_
#define OLEANDERTIDE_ROUTING_RETRY_POLICY_H_

#include <cstdint>
#include <utility>
#include <variant>

#include "core/time.h"
#include "routing/reason.h"
#include "routing/request_class.h"
#include "routing/retry_budget.h"

namespace oleandertide::routing {

// Result of an attempt, from the view of the node that sent it.
struct AttemptResult {
  Outcome outcome;
  Reason reason;
};

// Inputs of a retry decision.
struct RetryContext {
  // Outcome and reason of the attempt that has just ended; the outcome is not
  // kComplete.
  AttemptResult last;
  RequestClass request_class = RequestClass::kLookup;
  // Attempts made so far for this request, including the first.
  int attempts = 1;
  // Requests of the route may safely run more than once.
  bool route_is_repeatable = false;
  // The request arrived marked as a retry, or was already retried after an
  // unknown outcome (SendAgain::is_marked_as_retry of an earlier decision).
  bool is_marked_as_retry = false;
  // An attempt of this request by this node ended with an unknown outcome. The
  // final result must then not be "not run", whatever later attempts report.
  bool had_unknown_attempt = false;
  // EndpointChooser::Choose() returned an endpoint that was not tried yet.
  bool has_other_endpoint = false;
  MonotonicTime now;
  MonotonicTime deadline;
  // Minimum time before the deadline for which a retry is worthwhile.
  Duration min_attempt_time{1000};
};

// Decision to send the request to another endpoint.
struct SendAgain {
  // The request must carry this mark in its header; nodes further down the call
  // chain then do not retry after unknown outcomes.
  bool is_marked_as_retry;
};

// Decision to return this result to the caller.
struct GiveUp {
  AttemptResult result;
};

using RetryDecision = std::variant<SendAgain, GiveUp>;

// The budgets of one node, by default 5% of first attempts after not-run and
// 0.3% after unknown outcomes. After not-run, half of the maximum balance is
// reserved for classes other than lookups.
class BudgetedRetries {
 public:
  explicit BudgetedRetries(
      const RetryBudget::Options& not_run = RetryBudget::NotRunOptions(),
      const RetryBudget::Options& unknown = RetryBudget::UnknownOptions())
      : not_run_(not_run), unknown_(unknown) {}

  void RecordFirstAttempt();
  bool TryTake(Outcome outcome, RequestClass request_class, MonotonicTime now);

 private:
  RetryBudget not_run_;
  RetryBudget unknown_;
};

// Baseline for comparison: no budget, so every permitted retry is made.
class UnlimitedRetries {
 public:
  void RecordFirstAttempt() {}
  bool TryTake(Outcome /*outcome*/, RequestClass /*request_class*/,
               MonotonicTime /*now*/) {
    return true;
  }
};

// Thread-safe without locks.
class RetryPolicy {
 public:
  RetryPolicy() = default;

  // Example: RetryPolicy policy(std::in_place_type<UnlimitedRetries>);
  template <typename Budget, typename... Arguments>
  explicit RetryPolicy(std::in_place_type_t<Budget> budget,
                       Arguments&&... arguments)
      : budget_(budget, std::forward<Arguments>(arguments)...) {}

  // Records the first attempt of a request. The sender calls this for each
  // request, including those that arrived marked as retries.
  void RecordFirstAttempt();

  // Decides whether to retry after an attempt without an answer. SendAgain has
  // taken one retry from the budget, so the request must then be sent.
  RetryDecision Decide(const RetryContext& context);

 private:
  std::variant<BudgetedRetries, UnlimitedRetries> budget_;
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_RETRY_POLICY_H_
