// Budget that limits retries to a fixed share of first attempts.

#ifndef OLEANDERTIDE_ROUTING_RETRY_BUDGET_H_
#define OLEANDERTIDE_ROUTING_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>
#include <limits>

#include "core/time.h"

namespace oleandertide::routing {

// Thread-safe without locks. One object limits one kind of retry of one node.
//
// Each first attempt adds a share of one retry to the balance. With little
// traffic it would take long to add up to a retry, so the budget lends one
// retry per borrow interval. First attempts repay the debt. With enough traffic
// to repay it, the number of retries stays within
//   share × first attempts + max_saved_retries + kMaxDebtRetries;
// otherwise each node makes at most one retry per borrow interval. At the
// design load (74,000 calls/s, 1,100 nodes), borrowed retries that are never
// repaid would add 0.15% after not-run and 0.015% after unknown; a chain 14
// deep then stays at (1.05 + 0.0015) × 1.00315^14 = 1.0988, within 1.1.
class RetryBudget {
 public:
  struct Options {
    // Retries per 1,000 first attempts.
    std::int64_t retries_per_thousand;
    // Maximum balance, in retries: the size of a burst of retries.
    std::int64_t max_saved_retries;
    // While the balance is too low, one retry may be borrowed per interval.
    Duration borrow_interval;
  };

  // 5% of first attempts, for retries after a not-run outcome.
  static constexpr Options NotRunOptions() {
    return {.retries_per_thousand = 50,
            .max_saved_retries = 10,
            .borrow_interval = std::chrono::seconds(10)};
  }

  // 0.3% of first attempts, for retries after an unknown outcome.
  static constexpr Options UnknownOptions() {
    return {.retries_per_thousand = 3,
            .max_saved_retries = 2,
            .borrow_interval = std::chrono::seconds(100)};
  }

  // Maximum debt, in retries, that later first attempts must repay.
  static constexpr std::int64_t kMaxDebtRetries = 2;

  explicit RetryBudget(const Options& options) : options_(options) {}

  // Records a first attempt (not a retry).
  void RecordFirstAttempt();

  // Takes one retry if at least `reserve` retries remain in the balance, or
  // else borrows one. Returns false if neither is possible. Precondition:
  // reserve >= 0.
  bool TryTake(MonotonicTime now, std::int64_t reserve = 0);

 private:
  // The balance is in thousandths of a retry.
  static constexpr std::int64_t kBalancePerRetry = 1000;

  bool TryBorrow(MonotonicTime now);

  const Options options_;
  std::atomic<std::int64_t> balance_{0};
  // Time of the last borrowed retry, in microseconds of the monotonic clock.
  std::atomic<std::int64_t> last_borrow_us_{
      std::numeric_limits<std::int64_t>::min()};
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_RETRY_BUDGET_H_
