#include "rollout/exposure.h"

#include <algorithm>

namespace oleandertide::rollout {

Exposure::Counts& Exposure::Find(const OrderState& state) {
  Counts& counts = counts_[state.order.service];
  if (counts.order_version != state.order.version) {
    counts = {.order_version = state.order.version};
  }
  return counts;
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
      constexpr double kPermille = 1000;
      const double share =
          std::min(state->share_permille / kPermille, max_share_);
      const bool is_within = static_cast<double>(counts.sent_to_new + 1) <=
                             share * static_cast<double>(counts.sent + 1);
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
  ++counts.sent;
  if (version == state.order.to) ++counts.sent_to_new;
}

}  // namespace oleandertide::rollout
