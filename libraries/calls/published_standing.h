// The node's standing as the request path sees it.

#ifndef OLEANDERTIDE_CALLS_PUBLISHED_STANDING_H_
#define OLEANDERTIDE_CALLS_PUBLISHED_STANDING_H_

#include <atomic>

#include "core/time.h"
#include "distribution/freshness.h"

namespace oleandertide::calls {

// Written by the control thread, read on the request path without locks.
// Thread-safe.
class PublishedStanding {
 public:
  // The control thread publishes every 50 ms. An older value means that the
  // process was paused or the control thread hangs; nothing may rely on it.
  static constexpr Duration kMaximumAge = std::chrono::seconds(1);

  void Publish(distribution::Standing standing, MonotonicTime now) {
    standing_.store(standing, std::memory_order_relaxed);
    published_at_.store(now.time_since_epoch().count(),
                        std::memory_order_release);
  }

  // The standing at `now`; kIsolated if the published value is too old.
  distribution::Standing At(MonotonicTime now) const {
    const MonotonicTime published_at{
        Duration(published_at_.load(std::memory_order_acquire))};
    const auto standing = standing_.load(std::memory_order_relaxed);
    const bool is_old = now - published_at > kMaximumAge;
    if (is_old && standing != distribution::Standing::kStarting) {
      return distribution::Standing::kIsolated;
    }
    return standing;
  }

 private:
  std::atomic<distribution::Standing> standing_{
      distribution::Standing::kStarting};
  std::atomic<Duration::rep> published_at_{0};
};

}  // namespace oleandertide::calls

#endif  // OLEANDERTIDE_CALLS_PUBLISHED_STANDING_H_
