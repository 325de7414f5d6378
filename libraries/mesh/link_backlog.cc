#include "mesh/link_backlog.h"

#include <algorithm>

namespace oleandertide::mesh {

void LinkBacklog::Add(MonotonicTime now, std::size_t bytes) {
  free_at_ = std::max(free_at_, now) + TransferTime(bytes);
}

Duration LinkBacklog::TransferTime(std::size_t bytes) const {
  // A megabit per second is a bit per microsecond.
  constexpr double kBitsPerByte = 8;
  const double microseconds = static_cast<double>(bytes) * kBitsPerByte / mbps_;
  return Duration(static_cast<std::int64_t>(microseconds));
}

Duration LinkBacklog::Wait(MonotonicTime now) const {
  return std::max(Duration::zero(), free_at_ - now);
}

}  // namespace oleandertide::mesh
