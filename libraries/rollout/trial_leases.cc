#include "rollout/trial_leases.h"

#include <algorithm>

#include "rollout/order_book.h"

namespace oleandertide::rollout {

void TrialLeases::Renew(const TrialRenewal& renewal) {
  const auto found = leases_.find(renewal.service);
  if (found == leases_.end()) {
    if (leases_.size() >= OrderBook::kMaxOrders) return;
    leases_.emplace(renewal.service, Lease{renewal.order, renewal.until_ms});
    return;
  }
  Lease& lease = found->second;
  if (renewal.order < lease.order) return;
  if (renewal.order > lease.order) lease = {renewal.order, 0};
  lease.until_ms = std::max(lease.until_ms, renewal.until_ms);
}

bool TrialLeases::MayTry(const OrderState& state, std::uint64_t now_ms) const {
  if (!state.needs_lease()) return true;
  const auto found = leases_.find(state.order.service);
  return found != leases_.end() &&
         found->second.order == state.order.position &&
         now_ms < found->second.until_ms;
}

}  // namespace oleandertide::rollout
