// Named metrics of a process and their text form.

#ifndef OLEANDERTIDE_METRICS_REGISTRY_H_
#define OLEANDERTIDE_METRICS_REGISTRY_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "core/time.h"
#include "metrics/counter.h"
#include "metrics/latency_accumulator.h"

namespace oleandertide::metrics {

// The one label that a metric may have, e.g. {"reason", "queue-full"}.
struct Label {
  std::string key;
  std::string value;

  bool operator==(const Label&) const = default;
  bool operator<(const Label& other) const {
    return std::tie(key, value) < std::tie(other.key, other.value);
  }
};

// Owns metrics. Registration takes a lock; the returned references stay valid
// for the lifetime of the registry, so callers register once and keep them.
// Registering the same name and label again returns the same metric.
// Thread-safe.
//
// Names and label keys consist of a-z, 0-9 and '_' and do not begin with a
// digit. A malformed name, or a name that is already used for another kind of
// metric, is an error of the code and stops the process.
class Registry {
 public:
  Registry() = default;
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  // By convention, the name ends in _total.
  Counter& RegisterCounter(std::string_view name, std::string_view help,
                           const std::optional<Label>& label = std::nullopt);

  // Registers a counter for each value of a label, in the order of `values`,
  // so that callers can index them by an enumeration.
  std::vector<Counter*> RegisterCounters(
      std::string_view name, std::string_view help, std::string_view label_key,
      std::span<const std::string_view> values);

  Gauge& RegisterGauge(std::string_view name, std::string_view help,
                       const std::optional<Label>& label = std::nullopt);

  // By convention, the name ends in _seconds.
  LatencyAccumulator& RegisterLatency(
      std::string_view name, std::string_view help,
      const std::optional<Label>& label = std::nullopt);

  // Writes all metrics, ordered by name and label, in the Prometheus text
  // format 0.0.4. Latencies are summaries in seconds, with further gauges
  // NAME_mean and NAME_maximum; figures without recent latencies are NaN.
  std::string ToPrometheusText(MonotonicTime now) const;

 private:
  using Metric = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
                              std::unique_ptr<LatencyAccumulator>>;

  struct Family {
    std::string help;
    // At least one; all of the same kind.
    std::map<std::optional<Label>, Metric> metrics;
  };

  template <typename T>
  T& Register(std::string_view name, std::string_view help,
              const std::optional<Label>& label);

  mutable std::mutex mutex_;
  std::map<std::string, Family, std::less<>> families_;
};

}  // namespace oleandertide::metrics

#endif  // OLEANDERTIDE_METRICS_REGISTRY_H_
