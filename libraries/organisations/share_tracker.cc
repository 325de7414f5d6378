#include "organisations/share_tracker.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "absl/strings/string_view.h"

namespace oleandertide::organisations {
namespace {

// Half-life of the recorded work: some requests of a small organisation.
constexpr Duration kHalfLife = std::chrono::seconds(2);
constexpr Duration kRefreshInterval = std::chrono::milliseconds(250);

// Organisations of which state is kept; all of the largest configuration.
constexpr std::size_t kMaxOrganisations = 10'000;

// Work in microseconds below which an organisation is forgotten.
constexpr double kMinWork = 1'000;

// Use, in units of the mean, up to which an organisation is within its share.
// Usual rates vary by chance.
constexpr double kShareTolerance = 1.25;

// Use from which an organisation is far beyond its share. Under a general
// overload all have about the mean.
constexpr double kExcessUse = 1.8;
// Part of all work that such organisations need to have in excess of their
// share: less does not fill the queues.
constexpr double kMinExcessPart = 0.1;

absl::string_view ToAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

void ShareTracker::Record(std::string_view organisation, double weight,
                          Duration work, MonotonicTime now) {
  Refresh(now);
  auto found = uses_.find(ToAbsl(organisation));
  if (found == uses_.end()) {
    if (uses_.size() >= kMaxOrganisations) return;
    found = uses_.try_emplace(std::string(organisation)).first;
  }
  found->second.weight = weight;
  found->second.work +=
      static_cast<double>(std::max<std::int64_t>(work.count(), 1));
}

bool ShareTracker::IsDisplaced(std::string_view organisation, double weight,
                               MonotonicTime now) {
  Refresh(now);
  if (!has_excess_) return false;
  const auto found = uses_.find(ToAbsl(organisation));
  const double work = found == uses_.end() ? 0 : found->second.work;
  return work <= mean_use_ * kShareTolerance * weight;
}

void ShareTracker::Refresh(MonotonicTime now) {
  const Duration elapsed = now - refreshed_at_;
  if (elapsed < kRefreshInterval) return;
  refreshed_at_ = now;
  const double remaining = std::exp2(-static_cast<double>(elapsed.count()) /
                                     static_cast<double>(kHalfLife.count()));
  double work = 0;
  double weight = 0;
  for (auto next = uses_.begin(); next != uses_.end();) {
    const auto current = next++;
    Use& use = current->second;
    use.work *= remaining;
    if (use.work < kMinWork) {
      uses_.erase(current);
      continue;
    }
    work += use.work;
    weight += use.weight;
  }
  mean_use_ = weight > 0 ? work / weight : 0;
  double excess = 0;
  for (const auto& [name, use] : uses_) {
    const double share = mean_use_ * use.weight;
    if (use.work > share * kExcessUse) excess += use.work - share;
  }
  has_excess_ = excess > work * kMinExcessPart;
}

}  // namespace oleandertide::organisations
