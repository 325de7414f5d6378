// Choice of the endpoint for one attempt of a call.

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

// What a choice depends on besides the table.
struct ChoiceContext {
  MonotonicTime now;
  // Endpoints that must not be chosen, for example those already tried.
  std::span<const EndpointId> excluded = {};
};

// The better of two random candidates, by in-flight requests of this node per
// slot, recent latency, the age of that knowledge and recent failures. Stays
// in the local data centre unless the local candidates lack capacity.
// Endpoints that became ready less than 10 s ago get a proportional share.
class BetterOfTwoChoice {
 public:
  const Endpoint* Choose(const EndpointTable& table,
                         const ChoiceContext& context,
                         RandomSource& random) const;
};

// Baseline: a uniform choice over all endpoints.
class RandomChoice {
 public:
  const Endpoint* Choose(const EndpointTable& table,
                         const ChoiceContext& context,
                         RandomSource& random) const;
};

// Baseline: each endpoint in turn.
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
// thread passes its own RandomSource. The cost does not depend on the number
// of endpoints, only on the number of excluded ones.
class EndpointChooser {
 public:
  EndpointChooser() = default;

  // Example: EndpointChooser chooser(std::in_place_type<RandomChoice>);
  template <typename Strategy>
  explicit EndpointChooser(std::in_place_type_t<Strategy> strategy)
      : strategy_(strategy) {}

  // Returns an endpoint of the table, or null if none is left; the caller then
  // reports Reason::kNoBackendServer. The pointer is valid as long as the
  // table. The caller brackets the attempt with RecordStart() and RecordEnd()
  // on the endpoint's statistics.
  const Endpoint* Choose(const EndpointTable& table,
                         const ChoiceContext& context, RandomSource& random);

 private:
  ChoiceStrategy strategy_;
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_ENDPOINT_CHOOSER_H_
