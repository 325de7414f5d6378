#include "rollout/outcome_history.h"

namespace oleandertide::rollout {
namespace {

void AddCounts(OutcomeCounts& sum, const OutcomeCounts& counts) {
  sum.total += counts.total;
  sum.failed += counts.failed;
  sum.slow += counts.slow;
}

}  // namespace

std::uint64_t OutcomeWindowAt(std::uint64_t store_time_ms) {
  return store_time_ms /
         static_cast<std::uint64_t>(ToMilliseconds(kOutcomeWindow));
}

void OutcomeHistory::Count(Node& node, std::uint64_t window,
                           const RouteOutcome& outcome) {
  Key key(outcome.route, outcome.is_new ? outcome.server : std::string(),
          outcome.is_new);
  Counters& counters = node.windows[window];
  const auto found = counters.find(key);
  if (found == counters.end() && node.counters >= kMaxCounters) return;
  AddCounts(sums_[window][key], outcome.counts);
  if (found != counters.end()) {
    AddCounts(found->second, outcome.counts);
    return;
  }
  counters.emplace(std::move(key), outcome.counts);
  ++node.counters;
}

void OutcomeHistory::Subtract(std::uint64_t window, const Key& key,
                              const OutcomeCounts& counts) {
  OutcomeCounts& sum = sums_[window][key];
  sum.total -= counts.total;
  sum.failed -= counts.failed;
  sum.slow -= counts.slow;
}

void OutcomeHistory::Replace(const std::string& name,
                             std::uint64_t first_window,
                             std::span<const RouteOutcome> outcomes) {
  Node& node = nodes_[name];
  const auto first = node.windows.lower_bound(first_window);
  for (auto window = first; window != node.windows.end(); ++window) {
    for (const auto& [key, counts] : window->second) {
      Subtract(window->first, key, counts);
    }
    node.counters -= window->second.size();
  }
  node.windows.erase(first, node.windows.end());
  for (const RouteOutcome& outcome : outcomes) {
    if (outcome.window < first_window) continue;
    Count(node, outcome.window, outcome);
  }
}

void OutcomeHistory::Add(const std::string& name, std::uint64_t window,
                         std::span<const RouteOutcome> outcomes) {
  Node& node = nodes_[name];
  for (const RouteOutcome& outcome : outcomes) Count(node, window, outcome);
}

CanaryAnalysis OutcomeHistory::Analyse(std::uint64_t warm_window) const {
  CanaryAnalysis analysis;
  for (const auto& [window, counters] : sums_) {
    for (const auto& [key, counts] : counters) {
      const auto& [route, server, is_new] = key;
      analysis.Add(route, server, is_new, counts);
    }
    analysis.EndWindow(window < warm_window);
  }
  return analysis;
}

}  // namespace oleandertide::rollout
