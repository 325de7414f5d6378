#include "metrics/latency_accumulator.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <mutex>
#include <span>
#include <vector>

#include "metrics/counter.h"

namespace oleandertide::metrics {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::size_t kShards = 8;

// Up to this number, latencies are kept and quantiles are exact: the P²
// algorithm gives no usable estimate before its 17 markers are set.
constexpr std::size_t kExactSamples = 64;

// Marker probabilities. Those beside 0.5 and 0.99 make the distributions of
// the shards precise enough to be merged.
constexpr std::array<double, 7> kProbabilities = {0.25, 0.5,  0.75, 0.9,
                                                  0.95, 0.99, 0.999};

// Halvings of the range of latencies when a quantile is searched; leaves less
// than a microsecond of an hour.
constexpr int kBisections = 33;

using Accumulator = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::mean,
                        accumulators::tag::min, accumulators::tag::max,
                        accumulators::tag::extended_p_square>>;

// A point of a distribution: the share of latencies up to `value`.
struct Point {
  double value;
  double share;
};

// The latencies of one window of one shard, in microseconds.
class Window {
 public:
  explicit Window(MonotonicTime start) : start_(start) {}

  void Add(double value) {
    if (count() < kExactSamples) samples_[count()] = value;
    accumulator_(value);
  }

  MonotonicTime start() const { return start_; }
  std::size_t count() const { return accumulators::count(accumulator_); }
  double mean() const { return accumulators::mean(accumulator_); }
  double maximum() const { return accumulators::max(accumulator_); }

  // Returns the distribution with rising values. Precondition: not empty.
  std::vector<Point> Distribution() const {
    return count() <= kExactSamples ? ExactDistribution()
                                    : EstimatedDistribution();
  }

 private:
  std::vector<Point> ExactDistribution() const {
    std::vector<double> sorted(samples_.begin(),
                               samples_.begin() + static_cast<long>(count()));
    std::ranges::sort(sorted);
    std::vector<Point> points;
    points.reserve(sorted.size());
    const auto size = static_cast<double>(sorted.size());
    for (const double value : sorted) {
      points.push_back({value, static_cast<double>(points.size() + 1) / size});
    }
    return points;
  }

  std::vector<Point> EstimatedDistribution() const {
    std::vector<Point> points = {{accumulators::min(accumulator_), 0}};
    const auto heights = accumulators::extended_p_square(accumulator_);
    for (std::size_t i = 0; i < kProbabilities.size(); ++i) {
      points.push_back(
          {std::max(points.back().value, heights[i]), kProbabilities[i]});
    }
    points.push_back({std::max(points.back().value, maximum()), 1});
    return points;
  }

  MonotonicTime start_;
  std::array<double, kExactSamples> samples_{};
  Accumulator accumulator_{accumulators::tag::extended_p_square::probabilities =
                               kProbabilities};
};

// A distribution and the number of latencies that it stands for.
struct Part {
  double count;
  std::vector<Point> points;
};

// Returns the share of latencies up to `value`, interpolated between points.
double ShareUpTo(std::span<const Point> points, double value) {
  const auto above = std::ranges::upper_bound(points, value, {}, &Point::value);
  if (above == points.begin()) return 0;
  const Point& low = *(above - 1);
  if (above == points.end()) return low.share;
  return low.share + (above->share - low.share) * (value - low.value) /
                         (above->value - low.value);
}

// Finds the least value up to which `probability` of all latencies lie.
double MergedQuantile(std::span<const Part> parts, double probability,
                      double maximum) {
  double total = 0;
  for (const Part& part : parts) total += part.count;
  double low = 0;
  double high = maximum;
  for (int i = 0; i < kBisections; ++i) {
    const double middle = (low + high) / 2;
    double below = 0;
    for (const Part& part : parts) {
      below += part.count * ShareUpTo(part.points, middle);
    }
    (below < probability * total ? low : high) = middle;
  }
  return high;
}

Duration ToDuration(double microseconds) {
  return Duration(std::llround(microseconds));
}

// Spreads threads over the shards in the order of their first use.
std::size_t ShardOfThread() {
  static std::atomic<std::size_t> next = 0;
  static thread_local const std::size_t shard = next.fetch_add(1) % kShards;
  return shard;
}

}  // namespace

struct alignas(kCacheLineBytes) LatencyAccumulator::Shard {
  // Starts a new window when the current one is over. Precondition: `mutex` is
  // held.
  void Rotate(MonotonicTime now) {
    if (now - current.start() < kLatencyWindow) return;
    const bool is_adjacent = now - current.start() < 2 * kLatencyWindow;
    previous = is_adjacent ? current : Window(now);
    current = Window(now);
  }

  std::mutex mutex;
  std::uint64_t count = 0;
  Duration sum{};
  Window current{MonotonicTime()};
  Window previous{MonotonicTime()};
};

LatencyAccumulator::LatencyAccumulator()
    : shards_(std::make_unique<Shard[]>(kShards)) {}

LatencyAccumulator::~LatencyAccumulator() = default;

void LatencyAccumulator::Record(Duration latency, MonotonicTime now) {
  latency = std::max(latency, Duration(0));
  Shard& shard = shards_[ShardOfThread()];
  const std::lock_guard lock(shard.mutex);
  shard.Rotate(now);
  ++shard.count;
  shard.sum += latency;
  shard.current.Add(static_cast<double>(latency.count()));
}

LatencySummary LatencyAccumulator::Summarize(MonotonicTime now) const {
  LatencySummary summary;
  std::vector<Part> parts;
  double recent_sum = 0;
  double maximum = 0;
  for (std::size_t i = 0; i < kShards; ++i) {
    Shard& shard = shards_[i];
    const std::lock_guard lock(shard.mutex);
    shard.Rotate(now);
    summary.count += shard.count;
    summary.sum += shard.sum;
    for (const Window* window : {&shard.current, &shard.previous}) {
      if (window->count() == 0) continue;
      const auto count = static_cast<double>(window->count());
      summary.recent_count += window->count();
      recent_sum += count * window->mean();
      maximum = std::max(maximum, window->maximum());
      parts.push_back({count, window->Distribution()});
    }
  }
  if (summary.recent_count == 0) return summary;
  summary.mean =
      ToDuration(recent_sum / static_cast<double>(summary.recent_count));
  summary.maximum = ToDuration(maximum);
  summary.p50 = ToDuration(MergedQuantile(parts, 0.5, maximum));
  summary.p99 = ToDuration(MergedQuantile(parts, 0.99, maximum));
  return summary;
}

}  // namespace oleandertide::metrics
