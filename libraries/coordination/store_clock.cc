#include "coordination/store_clock.h"

#include <algorithm>

namespace oleandertide::coordination {
namespace {

Duration ToOffset(std::uint64_t store_time_ms, BootTime local) {
  return std::chrono::milliseconds(store_time_ms) - local.time_since_epoch();
}

std::uint64_t ToStoreTime(BootTime local, Duration offset) {
  const Duration time = local.time_since_epoch() + offset;
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, ToMilliseconds(time)));
}

}  // namespace

void StoreClock::Observe(std::uint64_t store_time_ms, BootTime received_at) {
  const Duration offset = ToOffset(store_time_ms, received_at);
  lowest_offset_ = std::max(lowest_offset_.value_or(offset), offset);
}

void StoreClock::ObserveAnswer(std::uint64_t store_time_ms, BootTime sent_at,
                               BootTime received_at) {
  Observe(store_time_ms, received_at);
  // The time is rounded down to a millisecond.
  const Duration offset =
      ToOffset(store_time_ms, sent_at) + std::chrono::milliseconds(1);
  highest_offset_ = std::min(highest_offset_.value_or(offset), offset);
}

std::optional<std::uint64_t> StoreClock::EarliestNow(BootTime now) const {
  if (!lowest_offset_) return std::nullopt;
  return ToStoreTime(now, *lowest_offset_);
}

std::optional<std::uint64_t> StoreClock::LatestNow(BootTime now) const {
  if (!highest_offset_) return std::nullopt;
  return ToStoreTime(now, *highest_offset_);
}

}  // namespace oleandertide::coordination
