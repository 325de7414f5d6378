#include "mesh/retry_allowance.h"

#include <algorithm>

namespace oleandertide::mesh {

double& RetryAllowance::Balance(std::string_view service) {
  const auto found = balances_.find(service);
  if (found != balances_.end()) return found->second;
  return balances_.emplace(service, options_.saved).first->second;
}

void RetryAllowance::RecordRequest(std::string_view service) {
  double& balance = Balance(service);
  balance = std::min(balance + options_.ratio, options_.saved);
}

bool RetryAllowance::TryTake(std::string_view service) {
  double& balance = Balance(service);
  if (balance < 1) return false;
  balance -= 1;
  return true;
}

}  // namespace oleandertide::mesh
