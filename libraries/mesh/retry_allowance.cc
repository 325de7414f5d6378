#include "mesh/retry_allowance.h"

#include <algorithm>

namespace oleandertide::mesh {

RetryAllowance::Balance& RetryAllowance::Find(std::string_view service) {
  const auto found = balances_.find(service);
  if (found != balances_.end()) return found->second;
  return balances_
      .emplace(service, Balance{.all = options_.max_saved_retries,
                                .runs = options_.max_saved_retries})
      .first->second;
}

void RetryAllowance::RecordRequest(std::string_view service) {
  Balance& balance = Find(service);
  balance.all =
      std::min(balance.all + options_.ratio, options_.max_saved_retries);
  balance.runs =
      std::min(balance.runs + options_.run_ratio, options_.max_saved_retries);
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
