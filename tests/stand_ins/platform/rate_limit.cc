#include "stand_ins/platform/rate_limit.h"

#include <algorithm>

namespace oleandertide::stand_ins {

bool RateLimit::Take(MonotonicTime now) {
  if (per_second_ == 0) return true;
  const std::scoped_lock lock(mutex_);
  const auto rate = static_cast<double>(per_second_);
  if (!is_started_) {
    is_started_ = true;
    tokens_ = rate;
    last_ = now;
  }
  const std::chrono::duration<double> elapsed = now - last_;
  last_ = now;
  tokens_ = std::min(rate, tokens_ + elapsed.count() * rate);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace oleandertide::stand_ins
