#include "mesh/slot_reserve.h"

#include <algorithm>
#include <cmath>

namespace oleandertide::mesh {
namespace {

// Half-life of the demand: longer than bursts, shorter than a change of load.
constexpr Duration kHalfLife = std::chrono::seconds(2);

// Smaller demands reserve nothing: a slot would be idle nearly all the time.
constexpr double kMinDemand = 0.02;

constexpr double kDemandShare = 0.5;
constexpr int kMaxSlotsDivisor = 3;

}  // namespace

void SlotReserve::Record(MonotonicTime now, int demand) {
  if (!is_enabled_) return;
  const double share =
      1 - std::exp2(-static_cast<double>((now - recorded_at_).count()) /
                    static_cast<double>(kHalfLife.count()));
  mean_demand_ += (demand_ - mean_demand_) * share;
  demand_ = demand;
  recorded_at_ = now;
}

int SlotReserve::Count(int slots) const {
  if (!is_enabled_ || mean_demand_ < kMinDemand) return 0;
  return std::min(static_cast<int>(std::ceil(mean_demand_ * kDemandShare)),
                  slots / kMaxSlotsDivisor);
}

}  // namespace oleandertide::mesh
