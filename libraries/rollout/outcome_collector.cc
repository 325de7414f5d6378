#include "rollout/outcome_collector.h"

#include <algorithm>
#include <utility>

namespace oleandertide::rollout {
namespace {

// Answers from which a mean is used, and over which it is taken.
constexpr int kMinAnswers = 10;
constexpr int kMaxAnswers = 200;

// Reports to a new coordinator that tell all windows: the first ones may be
// lost with a link that is replaced.
constexpr int kWholeReports = 3;

// Windows that each report repeats.
constexpr std::uint64_t kRepeatedWindows = 8;

}  // namespace

OutcomeCollector::Service& OutcomeCollector::Find(const SentRequest& sent) {
  Service& service = services_[std::string(sent.service)];
  if (service.order != sent.order) {
    service = {};
    service.order = sent.order;
  }
  return service;
}

bool OutcomeCollector::MakeRoom(Service& service) {
  while (service.counters >= kMaxOutcomeCounters &&
         service.windows.size() > 1) {
    service.counters -= detail::FoldOldest(service.windows);
  }
  return service.counters < kMaxOutcomeCounters;
}

void OutcomeCollector::Count(Service& service, const SentRequest& sent,
                             const OutcomeCounts& counts,
                             std::uint64_t now_ms) {
  const detail::OutcomeKey key(
      sent.route, sent.is_new ? sent.server : std::string_view(), sent.is_new);
  if (service.untold.contains(key) ||
      service.untold.size() < kMaxOutcomeCounters) {
    detail::AddCounts(service.untold[key], counts);
  }
  std::uint64_t window = OutcomeWindowAt(now_ms);
  // The estimate of the store's clock does not go back; a late call might.
  if (!service.windows.empty()) {
    window = std::max(window, service.windows.begin()->first);
  }
  const auto known = service.windows.find(window);
  if (known != service.windows.end() && known->second.contains(key)) {
    detail::AddCounts(known->second[key], counts);
    return;
  }
  if (!MakeRoom(service)) return;
  service.windows[window][key] = counts;
  ++service.counters;
}

void OutcomeCollector::RecordAnswer(const SentRequest& sent, bool is_failure,
                                    Duration run_time, std::uint64_t now_ms) {
  Service& service = Find(sent);
  const auto run_us = static_cast<double>(run_time.count());
  Mean& mean = service.old_means[std::string(sent.route)];
  const bool is_slow = !is_failure && mean.count >= kMinAnswers &&
                       run_us > CanaryAnalysis::kSlowRatio * mean.us;
  if (!sent.is_new && !is_failure) {
    mean.count = std::min(mean.count + 1, kMaxAnswers);
    mean.us += (run_us - mean.us) / mean.count;
  }
  Count(service, sent,
        {.total = 1, .failed = is_failure ? 1U : 0U, .slow = is_slow ? 1U : 0U},
        now_ms);
}

void OutcomeCollector::RecordFailure(const SentRequest& sent,
                                     std::uint64_t now_ms) {
  Count(Find(sent), sent, {.total = 1, .failed = 1}, now_ms);
}

OutcomeCollector::Totals OutcomeCollector::TotalsFrom(
    std::string_view name, StorePosition order, std::uint64_t window) const {
  Totals totals{.first_window = window};
  const auto found = services_.find(name);
  if (found == services_.end() || found->second.order != order ||
      found->second.windows.empty()) {
    // An earlier life of this process may have told some.
    totals.first_window = UINT64_MAX;
    return totals;
  }
  const auto& windows = found->second.windows;
  totals.first_window = std::max(window, windows.begin()->first);
  for (auto it = windows.lower_bound(totals.first_window); it != windows.end();
       ++it) {
    for (const auto& [key, counts] : it->second) {
      const auto& [route, server, is_new] = key;
      totals.outcomes.push_back({.route = route,
                                 .server = server,
                                 .is_new = is_new,
                                 .counts = counts,
                                 .window = it->first});
    }
  }
  return totals;
}

std::vector<RouteOutcome> OutcomeCollector::Take(std::string_view name,
                                                 StorePosition order) {
  std::vector<RouteOutcome> outcomes;
  const auto found = services_.find(name);
  if (found == services_.end() || found->second.order != order) {
    return outcomes;
  }
  for (const auto& [key, counts] : std::exchange(found->second.untold, {})) {
    const auto& [route, server, is_new] = key;
    outcomes.push_back(
        {.route = route, .server = server, .is_new = is_new, .counts = counts});
  }
  return outcomes;
}

std::uint64_t ReportSchedule::ChooseFirstWindow(std::uint64_t term,
                                                std::uint64_t now_ms) {
  if (std::exchange(term_, term) != term) whole_reports_ = kWholeReports;
  if (whole_reports_ > 0) return 0;
  const std::uint64_t window = OutcomeWindowAt(now_ms);
  return window > kRepeatedWindows ? window - kRepeatedWindows : 0;
}

void ReportSchedule::OnSent(bool is_sent) {
  if (!is_sent) {
    whole_reports_ = kWholeReports;
  } else if (whole_reports_ > 0) {
    --whole_reports_;
  }
}

}  // namespace oleandertide::rollout
