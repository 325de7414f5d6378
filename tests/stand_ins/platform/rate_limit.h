// Limit on the number of requests a second.

#ifndef OLEANDERTIDE_TESTS_STAND_INS_PLATFORM_RATE_LIMIT_H_
#define OLEANDERTIDE_TESTS_STAND_INS_PLATFORM_RATE_LIMIT_H_

#include <cstdint>
#include <mutex>

#include "core/time.h"

namespace oleandertide::stand_ins {

// Token bucket that holds at most one second's worth of tokens. Thread-safe.
class RateLimit {
 public:
  // `per_second` of 0 means no limit.
  explicit RateLimit(std::uint64_t per_second) : per_second_(per_second) {}

  // Takes a token if there is one.
  bool Take(MonotonicTime now);

 private:
  const std::uint64_t per_second_;
  std::mutex mutex_;
  bool is_started_ = false;
  double tokens_ = 0;
  MonotonicTime last_;
};

}  // namespace oleandertide::stand_ins

#endif  // OLEANDERTIDE_TESTS_STAND_INS_PLATFORM_RATE_LIMIT_H_
