#include "routing/endpoint_chooser.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

namespace oleandertide::routing {
namespace {

// Random draws for one candidate before the search falls back to stepping.
constexpr int kMaxDraws = 4;

// Share of a server that has just become ready. It must be above zero, or the
// server would never warm up.
constexpr double kMinSlowStartShare = 0.1;

// Knowledge of an endpoint's latency counts half after this time. An endpoint
// that was slow long ago is tried again.
constexpr Duration kConfidenceHalfLife = std::chrono::seconds(10);

// Costs closer than this factor count as equal and the first candidate is
// taken.
constexpr double kTieFactor = 1.25;

// Reported load changes a cost by this share at most, which is less than the
// tie factor, so that a wrong report never decides alone.
constexpr double kReportedLoadShare = 0.2;

// An endpoint whose latency is above the usual one of the service by this
// factor is slow or has a queue. Smaller differences are ignored: in overload
// they show queues of a few hundred milliseconds ago, and nodes that follow
// them fill the same queues in turn. A slow local endpoint is also compared
// with one in another data centre, because the way there costs little.
constexpr double kSlowFactor = 2;

// An endpoint with more recent failure weight is taken to lack capacity. One
// refusal falls below it after four seconds.
constexpr float kNoCapacityFailureWeight = 0.25F;

bool IsExcluded(const Endpoint& endpoint, const ChoiceContext& context) {
  return std::ranges::find(context.excluded, endpoint.id) !=
         context.excluded.end();
}

double SlowStartShare(const Endpoint& endpoint, MonotonicTime now) {
  const Duration age = now - endpoint.ready_since;
  if (age >= endpoint.slow_start) return 1;
  const double share = static_cast<double>(age.count()) /
                       static_cast<double>(endpoint.slow_start.count());
  return std::max(share, kMinSlowStartShare);
}

const Endpoint* Draw(std::span<const Endpoint> endpoints,
                     RandomSource& random) {
  return &endpoints[random.Below(endpoints.size())];
}

// Steps from a random position to the first endpoint that is not excluded. At
// most one step more than there are exclusions is needed.
const Endpoint* FirstNotExcluded(std::span<const Endpoint> endpoints,
                                 std::size_t start,
                                 const ChoiceContext& context) {
  const std::size_t steps =
      std::min(endpoints.size(), context.excluded.size() + 1);
  for (std::size_t i = 0; i < steps; ++i) {
    const Endpoint& endpoint = endpoints[(start + i) % endpoints.size()];
    if (!IsExcluded(endpoint, context)) return &endpoint;
  }
  return nullptr;
}

// Draws an endpoint other than `first`; a cold one is accepted in proportion
// to its warmth. Returns null if none was accepted.
const Endpoint* DrawCandidate(std::span<const Endpoint> endpoints,
                              const Endpoint* first,
                              const ChoiceContext& context,
                              RandomSource& random) {
  for (int i = 0; i < kMaxDraws; ++i) {
    const Endpoint* drawn = Draw(endpoints, random);
    if (drawn == first || IsExcluded(*drawn, context)) continue;
    const double share = SlowStartShare(*drawn, context.now);
    if (share < 1 && random.Unit() >= share) continue;
    return drawn;
  }
  return nullptr;
}

// Returns the latency in microseconds to expect of the endpoint. As far as it
// is not known, or known only from long ago, it is taken to be `usual`.
double ExpectedLatency(const Endpoint& endpoint, double typical_us,
                       MonotonicTime now) {
  const AtomicTimedFloat::Reading latency = endpoint.statistics->latency(now);
  if (!latency.is_known) return typical_us;
  const double half_lives = static_cast<double>(latency.age.count()) /
                            static_cast<double>(kConfidenceHalfLife.count());
  const double confidence = std::exp2(-half_lives);
  return confidence * latency.value + (1 - confidence) * typical_us;
}

double Cost(const Endpoint& endpoint, MonotonicTime now) {
  const EndpointStatistics& statistics = *endpoint.statistics;
  const double queue =
      (1.0 + std::max(statistics.in_flight(), 0)) / endpoint.slots;
  const double load = std::clamp(endpoint.reported_load, 0.0F, 1.0F);
  return queue * (1 + statistics.failure_weight(now)) *
         (1 + kReportedLoadShare * load);
}

// Returns how far the endpoint is beyond the latency that counts as slow; 1 if
// it is not slow, or if no latency is known yet.
double Slowness(const EndpointTable& table, const Endpoint& endpoint,
                MonotonicTime now) {
  const double typical_us = table.typical_latency_us();
  if (typical_us <= 0) return 1;
  const double latency = ExpectedLatency(endpoint, typical_us, now);
  return std::max(1.0, latency / (kSlowFactor * typical_us));
}

// Returns the better of two endpoints; the first one if they are about equal.
const Endpoint* LowerCost(const EndpointTable& table, const Endpoint* first,
                          const Endpoint* second, MonotonicTime now) {
  if (first == nullptr) return second;
  if (second == nullptr) return first;
  const double first_cost = Cost(*first, now) * Slowness(table, *first, now);
  const double second_cost = Cost(*second, now) * Slowness(table, *second, now);
  return first_cost > kTieFactor * second_cost ? second : first;
}

const Endpoint* LowerCostOfTwo(const EndpointTable& table,
                               std::span<const Endpoint> endpoints,
                               const ChoiceContext& context,
                               RandomSource& random) {
  if (endpoints.empty()) return nullptr;
  const Endpoint* first = DrawCandidate(endpoints, nullptr, context, random);
  if (first == nullptr) {
    // All draws were excluded or cold. When every server is cold, taking one
    // anyway keeps the service available.
    return FirstNotExcluded(endpoints, random.Below(endpoints.size()), context);
  }
  return LowerCost(table, first,
                   DrawCandidate(endpoints, first, context, random),
                   context.now);
}

bool LacksCapacity(const EndpointTable& table, const Endpoint& endpoint,
                   MonotonicTime now) {
  const EndpointStatistics& statistics = *endpoint.statistics;
  if (statistics.in_flight() >= endpoint.slots) return true;
  if (statistics.failure_weight(now) >= kNoCapacityFailureWeight) return true;
  return Slowness(table, endpoint, now) > 1;
}

}  // namespace

const Endpoint* BetterOfTwoChoice::Choose(const EndpointTable& table,
                                          const ChoiceContext& context,
                                          RandomSource& random) const {
  const Endpoint* local = LowerCostOfTwo(table, table.local(), context, random);
  if (local != nullptr && !LacksCapacity(table, *local, context.now)) {
    return local;
  }
  const Endpoint* remote =
      LowerCostOfTwo(table, table.remote(), context, random);
  return LowerCost(table, local, remote, context.now);
}

const Endpoint* RandomChoice::Choose(const EndpointTable& table,
                                     const ChoiceContext& context,
                                     RandomSource& random) const {
  if (table.all().empty()) return nullptr;
  return FirstNotExcluded(table.all(), random.Below(table.all().size()),
                          context);
}

const Endpoint* RoundRobinChoice::Choose(const EndpointTable& table,
                                         const ChoiceContext& context,
                                         RandomSource& /*random*/) {
  if (table.all().empty()) return nullptr;
  const std::uint64_t turn = next_.fetch_add(1, std::memory_order_relaxed);
  return FirstNotExcluded(table.all(), turn % table.all().size(), context);
}

const Endpoint* EndpointChooser::Choose(const EndpointTable& table,
                                        const ChoiceContext& context,
                                        RandomSource& random) {
  return std::visit(
      [&](auto& strategy) { return strategy.Choose(table, context, random); },
      strategy_);
}

}  // namespace oleandertide::routing
