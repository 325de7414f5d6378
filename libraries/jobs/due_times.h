// Due times of a job, computed from wall time only.

#ifndef OLEANDERTIDE_JOBS_DUE_TIMES_H_
#define OLEANDERTIDE_JOBS_DUE_TIMES_H_

#include <chrono>
#include <cstdint>

#include "core/result.h"
#include "core/time.h"

namespace oleandertide::jobs {

// All nodes compute the same due times, whatever they know about earlier runs.
// Immutable; thread-safe.
class DueTimes {
 public:
  // Due times are `offset` after each multiple of `every` since the epoch.
  // Error kInvalidArgument unless every > 0 and 0 <= offset < every.
  static Result<DueTimes> Create(std::chrono::seconds every,
                                 std::chrono::seconds offset);

  // Returns the latest due time that is not after `now`.
  WallTime LatestAt(WallTime now) const;

  // Returns the first due time after `now`.
  WallTime NextAfter(WallTime now) const { return LatestAt(now) + every_; }

  // Returns how many due times lie in (after, until].
  std::uint64_t CountBetween(WallTime after, WallTime until) const;

  std::chrono::seconds every() const { return every_; }
  std::chrono::seconds offset() const { return offset_; }

  bool operator==(const DueTimes&) const = default;

 private:
  DueTimes(std::chrono::seconds every, std::chrono::seconds offset)
      : every_(every), offset_(offset) {}

  std::chrono::seconds every_;
  std::chrono::seconds offset_;
};

}  // namespace oleandertide::jobs

#endif  // OLEANDERTIDE_JOBS_DUE_TIMES_H_
