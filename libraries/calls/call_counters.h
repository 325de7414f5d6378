// Counts of calls, refusals and retries.

#ifndef OLEANDERTIDE_CALLS_CALL_COUNTERS_H_
#define OLEANDERTIDE_CALLS_CALL_COUNTERS_H_

#include <vector>

#include "metrics/registry.h"
#include "routing/reason.h"

namespace oleandertide::calls {

// One counter for each reason. Thread-safe.
class ReasonCounters {
 public:
  // Registers `name` with the label "reason". `registry` must outlive this.
  ReasonCounters(metrics::Registry& registry, std::string_view name,
                 std::string_view help);

  void Add(routing::Reason reason) {
    counters_[static_cast<std::size_t>(reason)]->Add();
  }

 private:
  std::vector<metrics::Counter*> counters_;
};

// Counters of the request path. Thread-safe; `registry` must outlive it.
struct CallCounters {
  explicit CallCounters(metrics::Registry& registry);

  metrics::Counter& ingress_calls;
  metrics::Counter& completed;
  metrics::Counter& handed_over;
  metrics::Counter& replayed;
  metrics::Counter& senders_behind;
  ReasonCounters refusals;
  ReasonCounters receiver_refusals;
  ReasonCounters retries;
  metrics::LatencyAccumulator& call_latency;
};

}  // namespace oleandertide::calls

#endif  // OLEANDERTIDE_CALLS_CALL_COUNTERS_H_
