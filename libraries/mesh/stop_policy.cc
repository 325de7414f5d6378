#include "mesh/stop_policy.h"

namespace oleandertide::mesh {
namespace {

// Time between the last deadline of clients' requests and the end. Includes the
// time that the ingress gives an outcome to arrive, and the transmission.
constexpr Duration kClientMargin = std::chrono::milliseconds(250);

// The same for runs at the backend server beside the node: its last answers are
// still to reach the nodes that wait for them.
constexpr Duration kRunMargin = std::chrono::milliseconds(100);

}  // namespace

MonotonicTime StopPolicy::last_deadline() const { return end_ - kClientMargin; }

std::optional<MonotonicTime> StopPolicy::ChooseDeadline(
    MonotonicTime arrived, MonotonicTime now, Duration limit,
    Duration target_latency) const {
  if (arrived + limit <= last_deadline()) return arrived + limit;
  if (now > announced_at_) return std::nullopt;
  if (last_deadline() - now < target_latency) return std::nullopt;
  return last_deadline();
}

bool StopPolicy::MayRun(MonotonicTime deadline) const {
  return deadline <= end_ - kRunMargin;
}

}  // namespace oleandertide::mesh
