#include "routing/endpoint_statistics.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace oleandertide::routing {
namespace {

// Weight of a new sample in the moving average when the old value is recent.
// The factor for rises is higher, so the average shows after one or two answers
// that a server has become slow.
constexpr float kRisingSmoothingFactor = 0.5F;
constexpr float kFallingSmoothingFactor = 0.2F;

// Weight of a new sample in the typical latency of the service.
constexpr float kTypicalRisingSmoothingFactor = 1.0F / 256;
constexpr float kTypicalFallingSmoothingFactor = 1.0F / 32;

// Half-life of the old average's weight against a new sample.
constexpr Duration kLatencyHalfLife = std::chrono::seconds(10);

// Half-life of the weight of a refusal or failure. A node sends a few calls per
// second to one service; with a shorter half-life the weight of a refusal would
// be gone before the next call.
constexpr Duration kFailureHalfLife = std::chrono::seconds(2);

constexpr float kRefusedWeight = 1;
// Under overload every endpoint refuses. With a higher limit the weights would
// differ by chance, and all nodes would send to the same servers.
constexpr float kMaxRefusedWeight = 2;
constexpr float kFailedWeight = 4;
// High enough to avoid the endpoint until the member table lists it as
// draining, which takes a few seconds.
constexpr float kDrainingWeight = 16;
constexpr float kMaxFailureWeight = 32;

float DecayFactor(Duration age, Duration half_life) {
  return std::exp2(-static_cast<float>(age.count()) /
                   static_cast<float>(half_life.count()));
}

float NextAverage(const AtomicTimedFloat::Reading& old, float sample) {
  if (!old.is_known) return sample;
  const float factor =
      sample > old.value ? kRisingSmoothingFactor : kFallingSmoothingFactor;
  const float kept = (1 - factor) * DecayFactor(old.age, kLatencyHalfLife);
  return kept * old.value + (1 - kept) * sample;
}

}  // namespace

void ServiceLatency::Record(Duration elapsed) {
  const auto sample =
      static_cast<float>(std::max<std::int64_t>(elapsed.count(), 1));
  float old = typical_us_.load(std::memory_order_relaxed);
  float next = sample;
  do {
    const float factor = sample > old ? kTypicalRisingSmoothingFactor
                                      : kTypicalFallingSmoothingFactor;
    next = old == 0 ? sample : old + factor * (sample - old);
  } while (
      !typical_us_.compare_exchange_weak(old, next, std::memory_order_relaxed));
}

void EndpointStatistics::RecordEnd(MonotonicTime now, Duration elapsed,
                                   AttemptEnd end) {
  in_flight_.fetch_sub(1, std::memory_order_relaxed);
  switch (end) {
    case AttemptEnd::kCompleted:
      RecordLatency(now, elapsed);
      service_latency_->Record(elapsed);
      return;
    case AttemptEnd::kRefused:
      // Does not record the latency: refusals are fast, and an endpoint that
      // refuses everything would get the lowest latency.
      AddFailureWeight(now, kRefusedWeight, kMaxRefusedWeight);
      return;
    case AttemptEnd::kDraining:
      AddFailureWeight(now, kDrainingWeight, kMaxFailureWeight);
      return;
    case AttemptEnd::kFailed:
      AddFailureWeight(now, kFailedWeight, kMaxFailureWeight);
      return;
    case AttemptEnd::kTimedOut:
      RecordLatencyLowerBound(now, elapsed);
      AddFailureWeight(now, kRefusedWeight, kMaxRefusedWeight);
      return;
    case AttemptEnd::kAbandoned:
      RecordLatencyLowerBound(now, elapsed);
      return;
  }
}

float EndpointStatistics::failure_weight(MonotonicTime now) const {
  const AtomicTimedFloat::Reading reading = failure_weight_.Read(now);
  if (reading.value == 0) return 0;
  return reading.value * DecayFactor(reading.age, kFailureHalfLife);
}

void EndpointStatistics::RecordLatency(MonotonicTime now, Duration elapsed) {
  const auto sample =
      static_cast<float>(std::max<std::int64_t>(elapsed.count(), 1));
  latency_.Update(now, [sample](const AtomicTimedFloat::Reading& old) {
    return NextAverage(old, sample);
  });
}

// An attempt that ended early shows only that the latency is at least
// `elapsed`, so it never lowers the average.
void EndpointStatistics::RecordLatencyLowerBound(MonotonicTime now,
                                                 Duration elapsed) {
  const AtomicTimedFloat::Reading old = latency_.Read(now);
  if (old.is_known && static_cast<float>(elapsed.count()) <= old.value) return;
  RecordLatency(now, elapsed);
}

void EndpointStatistics::AddFailureWeight(MonotonicTime now, float weight,
                                          float limit) {
  failure_weight_.Update(now, [=](const AtomicTimedFloat::Reading& old) {
    const float kept = old.value * DecayFactor(old.age, kFailureHalfLife);
    return std::max(kept, std::min(kept + weight, limit));
  });
}

}  // namespace oleandertide::routing
