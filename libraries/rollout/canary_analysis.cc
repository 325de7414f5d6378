#include "rollout/canary_analysis.h"

#include <algorithm>
#include <cmath>

namespace oleandertide::rollout {
namespace {

// Weight of the windows before in the old version's share: it follows the day
// and still rests on enough outcomes.
constexpr double kDecay = 0.7;

// The old version's share is estimated as if this many outcomes with this share
// of bad ones had been seen before: a few outcomes without a bad one do not
// prove that there are none.
constexpr double kPriorOutcomes = 10;
constexpr double kPriorShare = 0.05;

// Evidence of a server beyond this does not count: one server alone cannot
// prove a version good, and a version that turns bad late loses it
// within a few bad outcomes.
constexpr double kMaxGoodSum = 0.75 * CanaryAnalysis::kGoodThreshold;

// With more bad outcomes of the old version, an excess cannot be told.
constexpr double kMaxOldShare = 0.65;

// Outcomes from which a server is judged, and evidence from which it shows a
// fault: on a bad day some servers of a good version are at fault themselves.
constexpr std::uint64_t kMinServerOutcomes = 8;
constexpr double kMinServerSum = 2.3;

std::uint32_t BadCount(const OutcomeCounts& counts, bool is_slow) {
  return std::min(is_slow ? counts.slow : counts.failed, counts.total);
}

}  // namespace

void CanaryAnalysis::Add(std::string_view route_name,
                         std::string_view server_name, bool is_new,
                         const OutcomeCounts& counts) {
  Route& route = routes_[std::string(route_name)];
  OutcomeCounts& sum = is_new ? route.servers[std::string(server_name)].window
                              : route.old_window;
  sum.total += counts.total;
  sum.failed += counts.failed;
  sum.slow += counts.slow;
}

double CanaryAnalysis::OldShare(const Route& route, Kind kind) {
  return std::min(kMaxOldShare,
                  (route.old_bad[kind] + kPriorOutcomes * kPriorShare) /
                      (route.old_total + kPriorOutcomes));
}

void CanaryAnalysis::EndWindow(bool is_warming) {
  for (auto& [route_name, route] : routes_) {
    const OutcomeCounts old_window = route.old_window;
    route.old_window = {};
    // The old version may get nothing more.
    const double decay = old_window.total > 0 ? kDecay : 1;
    route.old_count += old_window.total;
    old_count_ += old_window.total;
    route.old_total = route.old_total * decay + old_window.total;
    for (const Kind kind : {kFailed, kSlow}) {
      route.old_bad[kind] =
          route.old_bad[kind] * decay + BadCount(old_window, kind == kSlow);
      const double same = OldShare(route, kind);
      const double worse = same + kExcess * (1 - same);
      const double gain = std::log(worse / same);
      const double loss = std::log((1 - same) / (1 - worse));
      for (auto& [server_name, server] : route.servers) {
        const std::uint32_t bad = BadCount(server.window, kind == kSlow);
        double change = bad * gain - (server.window.total - bad) * loss;
        if (is_warming && kind == kSlow) change = std::min(change, 0.0);
        double& bad_sum = server.bad_sum[kind];
        double& good_sum = server.good_sum[kind];
        bad_sum = std::max(0.0, bad_sum + change);
        good_sum = std::clamp(good_sum - change, 0.0, kMaxGoodSum);
        route.new_bad[kind] += bad;
      }
    }
    for (auto& [server_name, server] : route.servers) {
      route.new_total += server.window.total;
      server.total += server.window.total;
      server.window = {};
    }
  }
}

bool CanaryAnalysis::IsShownByMost(const Route& route, Kind kind) {
  std::size_t judged = 0;
  std::size_t showing = 0;
  for (const auto& [name, server] : route.servers) {
    if (server.total < kMinServerOutcomes) continue;
    ++judged;
    if (server.bad_sum[kind] >= kMinServerSum) ++showing;
  }
  return showing >= 2 && 2 * showing > judged;
}

double CanaryAnalysis::SumWithoutGreatest(const Route& route, Kind kind) {
  double total = 0;
  double greatest = 0;
  for (const auto& [name, server] : route.servers) {
    total += server.bad_sum[kind];
    greatest = std::max(greatest, server.bad_sum[kind]);
  }
  return total - greatest;
}

double CanaryAnalysis::TotalGoodSum(const Route& route, Kind kind) {
  double total = 0;
  for (const auto& [name, server] : route.servers) {
    total += server.good_sum[kind];
  }
  return total;
}

Verdict CanaryAnalysis::verdict(bool is_last) const {
  bool is_good = false;
  bool is_undecided = false;
  for (const auto& [name, route] : routes_) {
    // A route with little traffic cannot be judged in time.
    const bool is_needed =
        static_cast<double>(route.old_count) >=
            kMinRouteShare * static_cast<double>(old_count_) &&
        (!is_last || route.new_total >= kMinOutcomes);
    for (const Kind kind : {kFailed, kSlow}) {
      if (SumWithoutGreatest(route, kind) >= kBadThreshold &&
          IsShownByMost(route, kind)) {
        return Verdict::kBad;
      }
      if (TotalGoodSum(route, kind) < kGoodThreshold) {
        is_undecided |= is_needed;
      } else {
        is_good = true;
      }
    }
  }
  return is_good && !is_undecided ? Verdict::kGood : Verdict::kUndecided;
}

CanaryAnalysis::Evidence CanaryAnalysis::evidence() const {
  Evidence worst;
  for (const auto& [name, route] : routes_) {
    for (const Kind kind : {kFailed, kSlow}) {
      const double sum = SumWithoutGreatest(route, kind);
      if (sum < worst.sum) continue;
      worst = {.route = name,
               .is_slowness = kind == kSlow,
               .sum = sum,
               .bad = route.new_bad[kind],
               .total = route.new_total,
               .old_share = OldShare(route, kind)};
    }
  }
  return worst;
}

}  // namespace oleandertide::rollout
