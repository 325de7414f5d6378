#include "routing/retry_budget.h"

#include <algorithm>

namespace oleandertide::routing {

void RetryBudget::RecordFirstAttempt() {
  const std::int64_t limit = options_.saved_retries * kRetry;
  std::int64_t old = balance_.load(std::memory_order_relaxed);
  while (old < limit && !balance_.compare_exchange_weak(
                            old, std::min(old + options_.per_thousand, limit),
                            std::memory_order_relaxed)) {
  }
}

bool RetryBudget::TryTake(MonotonicTime now, std::int64_t reserve) {
  std::int64_t old = balance_.load(std::memory_order_relaxed);
  while (old >= (reserve + 1) * kRetry) {
    if (balance_.compare_exchange_weak(old, old - kRetry,
                                       std::memory_order_relaxed)) {
      return true;
    }
  }
  return TryTakeFloor(now);
}

bool RetryBudget::TryTakeFloor(MonotonicTime now) {
  const std::int64_t time = now.time_since_epoch().count();
  std::int64_t last = last_advance_.load(std::memory_order_relaxed);
  const bool was_never_taken = last == std::numeric_limits<std::int64_t>::min();
  if (!was_never_taken && time - last < options_.floor_interval.count()) {
    return false;
  }
  if (!last_advance_.compare_exchange_strong(last, time,
                                             std::memory_order_relaxed)) {
    return false;  // Another thread has taken this interval's advance.
  }
  const std::int64_t lowest = -kMaximumDebt * kRetry;
  std::int64_t old = balance_.load(std::memory_order_relaxed);
  while (!balance_.compare_exchange_weak(old, std::max(old - kRetry, lowest),
                                         std::memory_order_relaxed)) {
  }
  return true;
}

}  // namespace oleandertide::routing
