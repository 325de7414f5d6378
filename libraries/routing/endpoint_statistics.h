// Statistics that a node records about its own attempts at an endpoint.

#ifndef OLEANDERTIDE_ROUTING_ENDPOINT_STATISTICS_H_
#define OLEANDERTIDE_ROUTING_ENDPOINT_STATISTICS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

#include "core/time.h"
#include "routing/atomic_timed_float.h"

namespace oleandertide::routing {

// How an attempt at an endpoint ended. EndpointChooser uses the statistics that
// follow from it.
enum class AttemptEnd {
  kCompleted,  // A whole answer arrived.
  kRefused,    // The receiver refused it as not run because of load.
  kDraining,   // The receiver refused it because it is draining.
  kFailed,     // Connect failure, lost connection or backend server crash.
  kTimedOut,   // The deadline passed in flight.
  kAbandoned,  // The caller cancelled; not counted as a failure.
};

// Typical latency of a service, shared by the statistics of its endpoints.
// Thread-safe without locks.
class ServiceLatency {
 public:
  // Records the latency of an answer.
  void Record(Duration elapsed);

  // Returns a moving average of the latency in microseconds, or 0 before the
  // first answer. Lower samples have a greater weight than higher ones, so a
  // few slow backend servers barely raise it.
  float typical_us() const {
    return typical_us_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<float> typical_us_{0};
};

// Thread-safe without locks; without contention each update is a few atomic
// operations. Aligned to a cache line to avoid false sharing between endpoints.
class alignas(64) EndpointStatistics {
 public:
  explicit EndpointStatistics(std::shared_ptr<ServiceLatency> service_latency)
      : service_latency_(std::move(service_latency)) {}

  // Records that an attempt was sent. Each call must be followed by exactly one
  // RecordEnd().
  void RecordStart() { in_flight_.fetch_add(1, std::memory_order_relaxed); }

  // Records the end of an attempt that took `elapsed`.
  void RecordEnd(MonotonicTime now, Duration elapsed, AttemptEnd end);

  // Returns the number of this node's attempts in flight.
  int in_flight() const { return in_flight_.load(std::memory_order_relaxed); }

  // Returns the exponentially weighted moving average of the latency in
  // microseconds and the time since its last update.
  AtomicTimedFloat::Reading latency(MonotonicTime now) const {
    return latency_.Read(now);
  }

  // Returns the weight of recent failures and refusals, 0 if there were none.
  // It decays with a half-life of two seconds.
  float failure_weight(MonotonicTime now) const;

 private:
  void RecordLatency(MonotonicTime now, Duration elapsed);
  void RecordLatencyLowerBound(MonotonicTime now, Duration elapsed);
  // Adds `weight` to the failure weight, but does not raise it above `limit`.
  void AddFailureWeight(MonotonicTime now, float weight, float limit);

  const std::shared_ptr<ServiceLatency> service_latency_;
  std::atomic<std::int32_t> in_flight_{0};
  AtomicTimedFloat latency_;
  AtomicTimedFloat failure_weight_;
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_ENDPOINT_STATISTICS_H_
