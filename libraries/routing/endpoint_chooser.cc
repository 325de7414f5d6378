#include "routing/endpoint_chooser.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

namespace oleandertide::routing {
namespace {

// Random draws for one candidate. After that the search takes the first
// endpoint from a random position that is not excluded.
constexpr int kMaxDraws = 4;

// Share of its normal load that a server gets when it has just become ready.
// With zero it would receive no calls and never warm up.
constexpr double kMinSlowStartShare = 0.1;

// Half-life of the confidence in a recorded latency. It lets the node try an
// endpoint again that was slow long ago.
constexpr Duration kConfidenceHalfLife = std::chrono::seconds(10);

// If the first candidate's cost is at most this factor times the second's, the
// first candidate is chosen.
constexpr double kTieFactor = 1.25;

// Maximum share by which the load that a server reports raises its cost. It is
// below kTieFactor - 1, so a wrong report alone cannot decide the choice.
constexpr double kReportedLoadShare = 0.2;

// An endpoint counts as slow when its latency exceeds this multiple of the
// service's typical latency. Smaller differences are ignored: under overload
// they reflect queues of a few hundred milliseconds ago, and nodes that react
// to them fill the same queues one after another. A slow local endpoint is also
// compared with one in another data centre, because the extra network latency
// is small.
constexpr double kSlowFactor = 2;

// An endpoint whose failure weight reaches this value is considered to lack
// capacity. The weight of one refusal decays to it in four seconds.
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

// Returns the first endpoint at or after position `start` that is not excluded,
// or null. Ids are unique, so one step more than there are exclusions suffices.
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

// Draws an endpoint other than `first`. An endpoint in slow start is accepted
// with a probability equal to its slow-start share. Returns null if no draw was
// accepted.
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

// Returns the expected latency of the endpoint in microseconds. The older its
// recorded latency, the more the result approaches `typical_us`; without a
// recorded latency it is `typical_us`.
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

// Returns the ratio of the endpoint's expected latency to the threshold for
// slow endpoints, at least 1. Returns 1 if the service has no recorded latency
// yet.
double Slowness(const EndpointTable& table, const Endpoint& endpoint,
                MonotonicTime now) {
  const double typical_us = table.typical_latency_us();
  if (typical_us <= 0) return 1;
  const double latency = ExpectedLatency(endpoint, typical_us, now);
  return std::max(1.0, latency / (kSlowFactor * typical_us));
}

// Returns the endpoint with the lower cost; `first` if the costs are within
// kTieFactor. Either may be null.
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
    // Every draw was excluded or rejected by slow start. When all servers are
    // in slow start, choosing one of them keeps the service available.
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
