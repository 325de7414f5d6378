#include "rollout/exposure.h"

#include <algorithm>
#include <cmath>

namespace oleandertide::rollout {
namespace {

// Requests for the new version that an ingress may make up for.
constexpr double kMaxCredit = 2;

double ShareOf(const OrderState& state) {
  constexpr double kPermille = 1000;
  return std::min(state.share_permille / kPermille, 1.0);
}

}  // namespace

Exposure::Counts& Exposure::Find(const OrderState& state) {
  Counts& counts = counts_[state.order.service];
  if (counts.order != state.order.position) {
    counts = {.order = state.order.position};
  }
  return counts;
}

bool Exposure::IsWithinBudget(const OrderState& state,
                              const Counts& counts) const {
  // A share below the bound keeps to it by the credit alone.
  const double budget_share =
      ShareOf(state) <= max_share_ ? max_share_ : kBudgetShare * max_share_;
  return static_cast<double>(counts.sent_to_new + 1) <=
         budget_share * static_cast<double>(counts.sent + 1);
}

std::size_t Exposure::ServerLimit(const OrderState& state,
                                  std::size_t new_servers) const {
  const double share = ShareOf(state);
  if (share <= max_share_) return kTrialServers;
  return std::max(kTrialServers,
                  static_cast<std::size_t>(
                      std::ceil(share * static_cast<double>(new_servers))));
}

VersionRule Exposure::Choose(const OrderState* state, bool has_old,
                             bool may_try) {
  if (state == nullptr) return VersionRule::kAny;
  Counts& counts = Find(*state);
  counts.has_seen_old |= has_old;
  switch (state->step) {
    case Step::kOrdered:
      return counts.has_seen_old ? VersionRule::kOldOnly : VersionRule::kAny;
    case Step::kTrial: {
      if (!counts.has_seen_old) return VersionRule::kAny;
      const bool is_within = may_try && counts.credit + ShareOf(*state) >= 1 &&
                             IsWithinBudget(*state, counts);
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
  if (state.step != Step::kTrial) return;
  counts.credit = std::min(counts.credit + ShareOf(state), kMaxCredit);
  if (version == state.order.to) {
    counts.credit -= 1;
    ++counts.sent_to_new;
  }
}

}  // namespace oleandertide::rollout
