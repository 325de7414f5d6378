#include "routing/endpoint_statistics.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace oleandertide::routing {
namespace {

// Share of a new sample in the average when the old value is recent. Rises are
// followed faster than falls, so that a server that becomes slow is noticed
// after one or two answers.
constexpr float kRisingSmoothingFactor = 0.5F;
constexpr float kFallingSmoothingFactor = 0.2F;

// Shares of a new sample in the usual latency of the service.
constexpr float kTypicalRisingSmoothingFactor = 1.0F / 256;
constexpr float kTypicalFallingSmoothingFactor = 1.0F / 32;

// An old average loses half of its share against a new sample in this time.
constexpr Duration kLatencyHalfLife = std::chrono::seconds(10);

// A refusal or failure counts half after this time. A node sends a few calls a
// second to one service; a shorter time would forget a refusal before the next
// call.
constexpr Duration kFailureHalfLife = std::chrono::seconds(2);

constexpr float kRefusedWeight = 1;
// Under overload every endpoint refuses. A higher limit lets their weights
// differ by chance, and all nodes follow the differences to the same servers.
constexpr float kMaxRefusedWeight = 2;
constexpr float kFailedWeight = 4;
// Enough to avoid the endpoint until the member table says that it is
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
      // The latency of a refusal is not recorded: refusals are fast, and an
      // endpoint that refuses everything would look like the best one.
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

// An attempt that ended early only proves that the latency is at least
// `elapsed`; it never improves the average.
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
