// Numbers that many threads update.

#ifndef OLEANDERTIDE_METRICS_COUNTER_H_
#define OLEANDERTIDE_METRICS_COUNTER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace oleandertide::metrics {

// Keeps numbers of different threads out of each other's cache lines.
inline constexpr std::size_t kCacheLineBytes = 64;

// A number that only grows. Thread-safe; updates are one relaxed atomic add.
class alignas(kCacheLineBytes) Counter {
 public:
  void Add(std::uint64_t count = 1) {
    value_.fetch_add(count, std::memory_order_relaxed);
  }

  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_ = 0;
};

// A number that rises and falls. Thread-safe.
class alignas(kCacheLineBytes) Gauge {
 public:
  void set_value(double value) {
    value_.store(value, std::memory_order_relaxed);
  }

  void Add(double change) {
    value_.fetch_add(change, std::memory_order_relaxed);
  }

  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_ = 0;
};

}  // namespace oleandertide::metrics

#endif  // OLEANDERTIDE_METRICS_COUNTER_H_
