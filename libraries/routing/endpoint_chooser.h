// Load balancing: chooses the endpoint for one attempt of a call.

#ifndef OLEANDERTIDE_ROUTING_ENDPOINT_CHOOSER_H_
#define OLEANDERTIDE_ROUTING_ENDPOINT_CHOOSER_H_

#include <atomic>
#include <cstdint>
#include <span>
#include <variant>

#include "core/random.h"
#include "core/time.h"
#include "routing/endpoint_table.h"

namespace oleandertide::routing {

// Inputs of a choice besides the table.
struct ChoiceContext {
  MonotonicTime now;
  // Endpoints that must not be chosen, for example those already tried.
  std::span<const EndpointId> excluded = {};
};

// Power of two choices: draws two random candidates and returns the one with
// the lower cost. The cost depends on this node's in-flight requests per slot,
// the recent latency and its age, recent failures and the reported load. Stays
// in the local data centre unless the chosen local candidate lacks capacity.
// The share of an endpoint grows linearly during its slow start, by default the
// first 10 s after it became ready.
class BetterOfTwoChoice {
 public:
  const Endpoint* Choose(const EndpointTable& table,
                         const ChoiceContext& context,
                         RandomSource& random) const;
};

// Baseline for comparison: a uniform random choice over all endpoints.
class RandomChoice {
 public:
  const Endpoint* Choose(const EndpointTable& table,
                         const ChoiceContext& context,
                         RandomSource& random) const;
};

// Baseline for comparison: all endpoints in rotation.
class RoundRobinChoice {
 public:
  const Endpoint* Choose(const EndpointTable& table,
                         const ChoiceContext& context, RandomSource& random);

 private:
  std::atomic<std::uint64_t> next_{0};
};

using ChoiceStrategy =
    std::variant<BetterOfTwoChoice, RandomChoice, RoundRobinChoice>;

// Chooses endpoints by one of the strategies. Thread-safe without locks; each
// thread passes its own RandomSource. The running time depends on the number of
// excluded endpoints, not on the number of endpoints.
class EndpointChooser {
 public:
  EndpointChooser() = default;

  // Example: EndpointChooser chooser(std::in_place_type<RandomChoice>);
  template <typename Strategy>
  explicit EndpointChooser(std::in_place_type_t<Strategy> strategy)
      : strategy_(strategy) {}

  // Returns an endpoint of the table, or null if the table is empty or all its
  // endpoints are excluded; the request then fails with
  // Reason::kNoBackendServer. The pointer is valid as long as the table.
  // Whoever sends the attempt calls RecordStart() before it and RecordEnd()
  // after it on the endpoint's statistics.
  const Endpoint* Choose(const EndpointTable& table,
                         const ChoiceContext& context, RandomSource& random);

 private:
  ChoiceStrategy strategy_;
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_ENDPOINT_CHOOSER_H_
