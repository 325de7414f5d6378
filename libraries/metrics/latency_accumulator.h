// Distribution of recent latencies.

#ifndef OLEANDERTIDE_METRICS_LATENCY_ACCUMULATOR_H_
#define OLEANDERTIDE_METRICS_LATENCY_ACCUMULATOR_H_

#include <cstdint>
#include <memory>

#include "core/time.h"

namespace oleandertide::metrics {

// Length of a window. Recent figures cover the current and the last window.
inline constexpr Duration kLatencyWindow = std::chrono::seconds(30);

// `count` and `sum` cover the lifetime; the rest is recent, and zero if
// `recent_count` is zero.
struct LatencySummary {
  std::uint64_t count = 0;
  Duration sum{};
  std::uint64_t recent_count = 0;
  Duration mean{};
  Duration maximum{};
  // Estimates for more than 64 latencies in a window and shard.
  Duration p50{};
  Duration p99{};
};

// Estimates quantiles with the P² algorithm (Jain and Chlamtac, 1985), in
// constant memory: about 23 kB, so a node has few accumulators and none for
// each route. Thread-safe: each thread updates one of a few shards, which have
// a mutex each and are merged when they are read.
class LatencyAccumulator {
 public:
  LatencyAccumulator();
  ~LatencyAccumulator();
  LatencyAccumulator(const LatencyAccumulator&) = delete;
  LatencyAccumulator& operator=(const LatencyAccumulator&) = delete;

  // Adds a latency that was measured at `now`. A negative one counts as zero.
  void Record(Duration latency, MonotonicTime now);

  LatencySummary Summarize(MonotonicTime now) const;

 private:
  struct Shard;

  std::unique_ptr<Shard[]> shards_;
};

}  // namespace oleandertide::metrics

#endif  // OLEANDERTIDE_METRICS_LATENCY_ACCUMULATOR_H_
