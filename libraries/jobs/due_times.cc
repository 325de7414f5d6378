#include "jobs/due_times.h"

namespace oleandertide::jobs {

Result<DueTimes> DueTimes::Create(std::chrono::seconds every,
                                  std::chrono::seconds offset) {
  if (every.count() <= 0 || offset.count() < 0 || offset >= every) {
    return Error::kInvalidArgument;
  }
  return DueTimes(every, offset);
}

WallTime DueTimes::LatestAt(WallTime now) const {
  const std::chrono::seconds shifted = now.time_since_epoch() - offset_;
  std::chrono::seconds past = shifted % every_;
  // The remainder is negative before the epoch.
  if (past.count() < 0) past += every_;
  return now - past;
}

std::uint64_t DueTimes::CountBetween(WallTime after, WallTime until) const {
  if (until <= after) return 0;
  const std::chrono::seconds span = LatestAt(until) - LatestAt(after);
  return static_cast<std::uint64_t>(span / every_);
}

}  // namespace oleandertide::jobs
