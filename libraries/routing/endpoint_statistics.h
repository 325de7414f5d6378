// What one node has itself observed about one endpoint.

#ifndef OLEANDERTIDE_ROUTING_ENDPOINT_STATISTICS_H_
#define OLEANDERTIDE_ROUTING_ENDPOINT_STATISTICS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

#include "core/time.h"
#include "routing/atomic_timed_float.h"

namespace oleandertide::routing {

// How an attempt at an endpoint ended, as far as the choice is concerned.
enum class AttemptEnd {
  kCompleted,  // A whole answer arrived.
  kRefused,    // The receiver refused it as not run because of load.
  kDraining,   // The receiver refused it because it is leaving.
  kFailed,     // Connect failure, lost connection or death.
  kTimedOut,   // The deadline passed in flight.
  kAbandoned,  // The caller cancelled; says nothing about success.
};

// The usual latency of a service, shared by the statistics of its endpoints.
// Thread-safe and free of locks.
class ServiceLatency {
 public:
  // Records the latency of an answer.
  void Record(Duration elapsed);

  // Returns the usual latency in microseconds, or 0 before the first answer. It
  // follows falls quickly and rises slowly, so that a few slow backend servers
  // do not become the usual case.
  float typical_us() const {
    return typical_us_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<float> typical_us_{0};
};

// Thread-safe and free of locks; every update is one or two atomic operations.
// Aligned to a cache line so that endpoints do not share one.
class alignas(64) EndpointStatistics {
 public:
  explicit EndpointStatistics(std::shared_ptr<ServiceLatency> service_latency)
      : service_latency_(std::move(service_latency)) {}

  // Records that an attempt was sent. Each call is followed by exactly one
  // RecordEnd().
  void RecordStart() { in_flight_.fetch_add(1, std::memory_order_relaxed); }

  // Records the end of an attempt that took `elapsed`.
  void RecordEnd(MonotonicTime now, Duration elapsed, AttemptEnd end);

  // Returns the number of attempts of this node in flight.
  int in_flight() const { return in_flight_.load(std::memory_order_relaxed); }

  // Returns the exponentially weighted latency in microseconds and its age.
  AtomicTimedFloat::Reading latency(MonotonicTime now) const {
    return latency_.Read(now);
  }

  // Returns the weight of recent failures and refusals: zero for none,
  // halved every two seconds.
  float failure_weight(MonotonicTime now) const;

 private:
  void RecordLatency(MonotonicTime now, Duration elapsed);
  void RecordLatencyLowerBound(MonotonicTime now, Duration elapsed);
  // Adds to the weight, but not beyond `limit`.
  void AddFailureWeight(MonotonicTime now, float weight, float limit);

  const std::shared_ptr<ServiceLatency> service_latency_;
  std::atomic<std::int32_t> in_flight_{0};
  AtomicTimedFloat latency_;
  AtomicTimedFloat failure_weight_;
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_ENDPOINT_STATISTICS_H_
