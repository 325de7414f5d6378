#include "rollout/outcome_history.h"

#include <iterator>
#include <utility>

namespace oleandertide::rollout {
namespace detail {

void AddCounts(OutcomeCounts& sum, const OutcomeCounts& counts) {
  sum.total += counts.total;
  sum.failed += counts.failed;
  sum.slow += counts.slow;
}

std::size_t FoldOldest(OutcomeWindows& windows) {
  const auto oldest = windows.begin();
  const auto folded = std::next(oldest);
  std::size_t saved = 0;
  for (const auto& [key, counts] : folded->second) {
    const auto [found, is_added] = oldest->second.try_emplace(key, counts);
    if (is_added) continue;
    AddCounts(found->second, counts);
    ++saved;
  }
  windows.erase(folded);
  return saved;
}

}  // namespace detail

std::uint64_t OutcomeWindowAt(std::uint64_t store_time_ms) {
  return store_time_ms /
         static_cast<std::uint64_t>(ToMilliseconds(kOutcomeWindow));
}

bool OutcomeHistory::MakeRoom(Node& node) {
  while (node.counters >= kMaxOutcomeCounters && node.windows.size() > 1) {
    const auto oldest = node.windows.begin();
    const auto folded = std::next(oldest);
    for (const auto& [key, counts] : folded->second) {
      detail::AddCounts(sums_[oldest->first][key], counts);
    }
    Subtract(folded->first, folded->second);
    node.counters -= detail::FoldOldest(node.windows);
  }
  return node.counters < kMaxOutcomeCounters;
}

void OutcomeHistory::Count(Node& node, std::uint64_t window,
                           const RouteOutcome& outcome) {
  detail::OutcomeKey key(outcome.route,
                         outcome.is_new ? outcome.server : std::string(),
                         outcome.is_new);
  const auto known = node.windows.find(window);
  const bool is_known =
      known != node.windows.end() && known->second.contains(key);
  if (!is_known && !MakeRoom(node)) return;
  if (!is_known) ++node.counters;
  detail::AddCounts(node.windows[window][key], outcome.counts);
  detail::AddCounts(sums_[window][std::move(key)], outcome.counts);
}

void OutcomeHistory::Subtract(std::uint64_t window,
                              const detail::OutcomeCounters& counters) {
  const auto sum = sums_.find(window);
  if (sum == sums_.end()) return;
  for (const auto& [key, counts] : counters) {
    const auto found = sum->second.find(key);
    if (found == sum->second.end()) continue;
    OutcomeCounts& total = found->second;
    total.total -= counts.total;
    total.failed -= counts.failed;
    total.slow -= counts.slow;
    if (total.total == 0) sum->second.erase(found);
  }
  if (sum->second.empty()) sums_.erase(sum);
}

void OutcomeHistory::Replace(const std::string& name,
                             std::uint64_t first_window,
                             std::span<const RouteOutcome> outcomes) {
  Node& node = nodes_[name];
  const auto first = node.windows.lower_bound(first_window);
  for (auto window = first; window != node.windows.end(); ++window) {
    Subtract(window->first, window->second);
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
