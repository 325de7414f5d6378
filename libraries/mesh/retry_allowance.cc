#include "mesh/retry_allowance.h"

#include <algorithm>

namespace oleandertide::mesh {

RetryAllowance::Balance& RetryAllowance::Find(std::string_view service) {
  const auto found = balances_.find(service);
  if (found != balances_.end()) return found->second;
  return balances_
      .emplace(service, Balance{.all = options_.max_saved_retries + reserve_,
                                .runs = options_.max_saved_retries + reserve_})
      .first->second;
}

void RetryAllowance::RecordRequest(std::string_view service) {
  Balance& balance = Find(service);
  const double limit = options_.max_saved_retries + reserve_;
  balance.all = std::min(balance.all + options_.ratio, limit);
  balance.runs = std::min(balance.runs + options_.run_ratio, limit);
}

void RetryAllowance::AddReserve(int count) {
  reserve_ += count;
  for (auto& [service, balance] : balances_) {
    balance.all += count;
    balance.runs += count;
  }
}

bool RetryAllowance::TryTake(std::string_view service, RetryKind kind) {
  Balance& balance = Find(service);
  if (balance.all < 1) return false;
  if (kind == RetryKind::kRun) {
    if (balance.runs < 1) return false;
    balance.runs -= 1;
  }
  balance.all -= 1;
  return true;
}

}  // namespace oleandertide::mesh
