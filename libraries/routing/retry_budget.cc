#include "routing/retry_budget.h"

#include <algorithm>

namespace oleandertide::routing {

void RetryBudget::RecordFirstAttempt() {
  const std::int64_t limit = options_.max_saved_retries * kBalancePerRetry;
  std::int64_t old = balance_.load(std::memory_order_relaxed);
  while (old < limit &&
         !balance_.compare_exchange_weak(
             old, std::min(old + options_.retries_per_thousand, limit),
             std::memory_order_relaxed)) {
  }
}

bool RetryBudget::TryTake(MonotonicTime now, std::int64_t reserve) {
  std::int64_t old = balance_.load(std::memory_order_relaxed);
  while (old >= (reserve + 1) * kBalancePerRetry) {
    if (balance_.compare_exchange_weak(old, old - kBalancePerRetry,
                                       std::memory_order_relaxed)) {
      return true;
    }
  }
  return TryBorrow(now);
}

bool RetryBudget::TryBorrow(MonotonicTime now) {
  const std::int64_t now_us = now.time_since_epoch().count();
  std::int64_t last_us = last_borrow_us_.load(std::memory_order_relaxed);
  const bool has_never_borrowed =
      last_us == std::numeric_limits<std::int64_t>::min();
  if (!has_never_borrowed &&
      now_us - last_us < options_.borrow_interval.count()) {
    return false;
  }
  if (!last_borrow_us_.compare_exchange_strong(last_us, now_us,
                                               std::memory_order_relaxed)) {
    return false;  // Another thread has borrowed in this interval.
  }
  const std::int64_t min_balance = -kMaxDebtRetries * kBalancePerRetry;
  std::int64_t old = balance_.load(std::memory_order_relaxed);
  while (!balance_.compare_exchange_weak(
      old, std::max(old - kBalancePerRetry, min_balance),
      std::memory_order_relaxed)) {
  }
  return true;
}

}  // namespace oleandertide::routing
