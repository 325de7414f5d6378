// Budget that keeps retries a fixed share of first attempts.

#ifndef OLEANDERTIDE_ROUTING_RETRY_BUDGET_H_
#define OLEANDERTIDE_ROUTING_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>
#include <limits>

#include "core/time.h"

namespace oleandertide::routing {

// Thread-safe without locks. One instance counts one kind of retry of one node.
//
// Each first attempt deposits a share of one retry. With little traffic the
// deposits would allow none for a long time, so one retry per floor interval is
// allowed in advance. The advance is repaid from later deposits: with enough
// traffic to repay, retries stay within
//   share × first attempts + saved retries + debt,
// and without, they are bounded by one per floor interval and node. At the
// design load (74,000 calls/s, 1,100 nodes) even a floor that was never repaid
// would add 0.15% after not-run and 0.015% after unknown; a chain 14 deep then
// stays at (1.05 + 0.0015) × 1.00315^14 = 1.0988, within 1.1.
class RetryBudget {
 public:
  struct Options {
    // Retries per 1,000 first attempts.
    std::int64_t retries_per_thousand;
    // Most retries that can be saved up for a burst.
    std::int64_t max_saved_retries;
    // One retry in this time is allowed in advance.
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

  // Retries that may be owed to later first attempts.
  static constexpr std::int64_t kMaxDebtRetries = 2;

  explicit RetryBudget(const Options& options) : options_(options) {}

  // Records a first attempt (not a retry).
  void RecordFirstAttempt();

  // Takes one retry from the budget, but leaves `reserve` saved retries;
  // returns false if that is not possible. Precondition: reserve >= 0.
  bool TryTake(MonotonicTime now, std::int64_t reserve = 0);

 private:
  // Balances are counted in thousandths of a retry.
  static constexpr std::int64_t kBalancePerRetry = 1000;

  bool TryBorrow(MonotonicTime now);

  const Options options_;
  std::atomic<std::int64_t> balance_{0};
  // Time of the last advance in microseconds.
  std::atomic<std::int64_t> last_borrow_us_{
      std::numeric_limits<std::int64_t>::min()};
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_RETRY_BUDGET_H_
