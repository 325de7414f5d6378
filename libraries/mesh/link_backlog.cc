#include "mesh/link_backlog.h"

#include <algorithm>

namespace oleandertide::mesh {
namespace {

// A megabit per second is a bit per microsecond.
constexpr double kBitsPerByte = 8;

}  // namespace

Duration TransferTime(double bytes, double mbps) {
  return Duration(static_cast<std::int64_t>(bytes * kBitsPerByte / mbps));
}

double TransferableBytes(Duration time, double mbps) {
  return static_cast<double>(time.count()) * mbps / kBitsPerByte;
}

void LinkBacklog::Add(MonotonicTime now, std::size_t bytes) {
  free_at_ = std::max(free_at_, now) + TransferTime(bytes);
}

Duration LinkBacklog::Wait(MonotonicTime now) const {
  return std::max(Duration::zero(), free_at_ - now);
}

}  // namespace oleandertide::mesh
