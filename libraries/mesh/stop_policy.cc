#include "mesh/stop_policy.h"

namespace oleandertide::mesh {
namespace {

// Time before the end by which answers are due, so that they reach the client.
constexpr Duration kEndMargin = std::chrono::milliseconds(250);

}  // namespace

MonotonicTime StopPolicy::last_answer() const { return end_ - kEndMargin; }

std::optional<MonotonicTime> StopPolicy::ChooseDeadline(
    MonotonicTime arrived, Duration limit, Duration target_latency) const {
  if (arrived + limit <= last_answer()) return arrived + limit;
  if (arrived > announced_at_) return std::nullopt;
  if (last_answer() - arrived < target_latency) return std::nullopt;
  return last_answer();
}

}  // namespace oleandertide::mesh
