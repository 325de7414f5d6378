#include "organisations/key_trust.h"

namespace oleandertide::organisations {
namespace {

// The rest covers what the estimate of the store's clock may lag behind and the
// time from a client's sending to the check. Up to 0.6 of the limit, refused
// requests count as lost.
constexpr double kLimitShare = 0.8;

}  // namespace

KeyTrust::KeyTrust(Duration revocation_limit)
    : limit_(Duration(static_cast<std::int64_t>(
          static_cast<double>(revocation_limit.count()) * kLimitShare))) {}

bool KeyTrust::MayHonour(const coordination::StoreClock& clock,
                         std::uint64_t confirmed_store_time_ms,
                         BootTime now) const {
  // The earliest time would not do: after a restart it rests on messages of any
  // age alone.
  const auto store_now = clock.LatestNow(now);
  if (!store_now || confirmed_store_time_ms == 0) return false;
  if (*store_now < confirmed_store_time_ms) return true;
  return std::chrono::milliseconds(*store_now - confirmed_store_time_ms) <=
         limit_;
}

}  // namespace oleandertide::organisations
