// What all nodes counted of one order, by time.

#ifndef OLEANDERTIDE_ROLLOUT_OUTCOME_HISTORY_H_
#define OLEANDERTIDE_ROLLOUT_OUTCOME_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>

#include "core/time.h"
#include "rollout/canary_analysis.h"

namespace oleandertide::rollout {

// Outcomes of both versions within a window are compared.
inline constexpr Duration kOutcomeWindow = std::chrono::milliseconds(250);

namespace detail {

// Route, server, and whether the version is new.
using OutcomeKey = std::tuple<std::string, std::string, bool>;
using OutcomeCounters = std::map<OutcomeKey, OutcomeCounts>;
using OutcomeWindows = std::map<std::uint64_t, OutcomeCounters>;

void AddCounts(OutcomeCounts& sum, const OutcomeCounts& counts);

// Adds the second window to the first, which still tells where counting began.
// Returns how many counters that saves. Precondition: there are two windows.
std::size_t FoldOldest(OutcomeWindows& windows);

}  // namespace detail

// Counters that are kept of one node and order. Where there are more, the
// oldest windows are added up.
inline constexpr std::size_t kMaxOutcomeCounters = 1000;

// Number of the window at a time of the store's clock, in milliseconds; the
// same at all nodes. Thread-safe.
std::uint64_t OutcomeWindowAt(std::uint64_t store_time_ms);

struct RouteOutcome {
  std::string route{};
  // Node beside the backend server; empty for the old version, whose servers
  // are not told apart.
  std::string server{};
  bool is_new = false;
  OutcomeCounts counts{};
  std::uint64_t window = 0;
};

// Sums of the windows of all nodes. A node tells the total of a window, which
// replaces what it told of it before, so lost and repeated reports do no harm,
// and whoever has one report of each node that tells all windows knows what
// every other decider knows.
//
// Load pattern: deciders that begin in the middle of an order; nodes whose
// process is replaced, whose earlier windows stay; orders that last for hours.
//
// Not thread-safe.
class OutcomeHistory {
 public:
  // Replaces what `node` told of the windows from `first_window` on.
  void Replace(const std::string& node, std::uint64_t first_window,
               std::span<const RouteOutcome> outcomes);

  // Adds counts to a window of `node`, whatever window they name.
  void Add(const std::string& node, std::uint64_t window,
           std::span<const RouteOutcome> outcomes);

  // Returns the analysis of all windows, in their order. Slowness is no
  // evidence for a bad version before `warm_window`.
  CanaryAnalysis Analyse(std::uint64_t warm_window) const;

 private:
  struct Node {
    detail::OutcomeWindows windows;
    std::size_t counters = 0;
  };

  void Count(Node& node, std::uint64_t window, const RouteOutcome& outcome);
  // Makes room for a counter. Returns whether there is any.
  bool MakeRoom(Node& node);
  // Takes a window of a node out of the sums.
  void Subtract(std::uint64_t window, const detail::OutcomeCounters& counters);

  std::map<std::string, Node, std::less<>> nodes_;
  detail::OutcomeWindows sums_;
};

}  // namespace oleandertide::rollout

#endif  // OLEANDERTIDE_ROLLOUT_OUTCOME_HISTORY_H_
