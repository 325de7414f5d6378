// Virtual time for property tests: a queue of events, run in order of time.

#ifndef OLEANDERTIDE_TESTS_SUPPORT_EVENT_QUEUE_H_
#define OLEANDERTIDE_TESTS_SUPPORT_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "core/time.h"

namespace oleandertide::testing {

// Events at the same time run in the order in which they were added.
class EventQueue {
 public:
  void After(Duration delay, std::function<void()> event) {
    events_.emplace(std::pair(now_ + delay, ++last_event_), std::move(event));
  }

  // Runs all events up to `time`, which becomes the present time.
  void RunUntil(MonotonicTime time) {
    while (!events_.empty() && events_.begin()->first.first <= time) {
      const auto next = events_.begin();
      now_ = next->first.first;
      const std::function<void()> event = std::move(next->second);
      events_.erase(next);
      event();
    }
    now_ = time;
  }

  MonotonicTime now() const { return now_; }

 private:
  // Starts after zero, so that subtracting an interval stays valid.
  MonotonicTime now_{std::chrono::hours(1)};
  std::uint64_t last_event_ = 0;
  std::map<std::pair<MonotonicTime, std::uint64_t>, std::function<void()>>
      events_;
};

}  // namespace oleandertide::testing

#endif  // OLEANDERTIDE_TESTS_SUPPORT_EVENT_QUEUE_H_
