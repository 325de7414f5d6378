// Decides whether a call that ended without an answer is sent again.

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

// How an attempt ended, as the node that sent it knows it.
struct AttemptResult {
  Outcome outcome;
  Reason reason;
};

// All that the decision depends on.
struct RetryContext {
  // Outcome and reason of the attempt that has just ended; the outcome is not
  // kComplete.
  AttemptResult last;
  RequestClass request_class = RequestClass::kLookup;
  // Attempts made so far for this request, including the first.
  int attempts = 1;
  // The route may be run more than once without harm.
  bool route_is_repeatable = false;
  // The request arrived marked as a retry, or was already retried after an
  // unknown outcome (SendAgain::is_marked_as_retry of an earlier decision).
  bool is_marked_as_retry = false;
  // An earlier attempt of this request at this node ended unknown. Whatever
  // follows, the caller must then not be told that the request has not run.
  bool had_unknown_attempt = false;
  // EndpointChooser::Choose() found an endpoint that was not tried yet.
  bool has_other_endpoint = false;
  MonotonicTime now;
  MonotonicTime deadline;
  // Time that an attempt needs to be of use.
  Duration min_attempt_time{1000};
};

// The request is sent to another endpoint.
struct SendAgain {
  // To be carried in the header of the request, so that nodes further down the
  // chain do not retry after unknown outcomes.
  bool is_marked_as_retry;
};

// The caller gets this outcome.
struct GiveUp {
  AttemptResult result;
};

using RetryDecision = std::variant<SendAgain, GiveUp>;

// The budgets of one node: 5% after not-run, 0.3% after unknown outcomes. After
// not-run, lookups leave half of the saved retries to other classes.
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

// Baseline: every permitted retry is made.
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

  // Records the first attempt of a request. To be called for each request that
  // is sent, including those that arrived marked as retries.
  void RecordFirstAttempt();

  // Decides what happens after an attempt without an answer. Takes from the
  // budget if the result is SendAgain, so the caller must then send.
  RetryDecision Decide(const RetryContext& context);

 private:
  std::variant<BudgetedRetries, UnlimitedRetries> budget_;
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_RETRY_POLICY_H_
