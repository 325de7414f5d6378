#include "rollout/exposure.h"

#include <algorithm>

namespace oleandertide::rollout {
namespace {

// Requests for the new version that an ingress may make up for.
constexpr double kMaxCredit = 2;

}  // namespace

Exposure::Counts& Exposure::Find(const OrderState& state) {
  Counts& counts = counts_[state.order.service];
  if (counts.order_version != state.order.version) {
    counts = {.order_version = state.order.version};
  }
  return counts;
}

double Exposure::ShareOf(const OrderState& state) const {
  constexpr double kPermille = 1000;
  return std::min(state.share_permille / kPermille, max_share_);
}

VersionRule Exposure::Choose(const OrderState* state, bool has_old) {
  if (state == nullptr) return VersionRule::kAny;
  Counts& counts = Find(*state);
  counts.has_seen_old |= has_old;
  switch (state->step) {
    case Step::kOrdered:
      return counts.has_seen_old ? VersionRule::kOldOnly : VersionRule::kAny;
    case Step::kTrial: {
      if (!counts.has_seen_old) return VersionRule::kAny;
      const bool is_within = counts.credit + ShareOf(*state) >= 1;
      return is_within ? VersionRule::kNewFirst : VersionRule::kOldOnly;
    }
    case Step::kReplacing:
    case Step::kCompleted:
      return VersionRule::kNewOnly;
    case Step::kRollingBack:
    case Step::kRolledBack:
    case Step::kCancelled:
      break;
  }
  return VersionRule::kOldOnly;
}

void Exposure::RecordSent(const OrderState& state, std::string_view version) {
  Counts& counts = Find(state);
  if (state.step != Step::kTrial) return;
  counts.credit = std::min(counts.credit + ShareOf(state), kMaxCredit);
  if (version == state.order.to) counts.credit -= 1;
}

}  // namespace oleandertide::rollout
