// Discrete events on a virtual clock.

#ifndef OLEANDERTIDE_BENCHMARKS_ROUTING_EVENT_QUEUE_H_
#define OLEANDERTIDE_BENCHMARKS_ROUTING_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time.h"

namespace oleandertide::routing {

// Runs actions in the order of their times; actions of the same time run in
// the order in which they were scheduled. Not thread-safe.
class EventQueue {
 public:
  MonotonicTime now() const { return now_; }

  // Schedules `action` after `delay`, which is not negative.
  void After(Duration delay, std::function<void()> action) {
    events_.push({now_ + delay, next_++, std::move(action)});
  }

  // Schedules `action` at `time`, or now if that has passed.
  void At(MonotonicTime time, std::function<void()> action) {
    After(std::max(time - now_, Duration(0)), std::move(action));
  }

  // Runs events until none is left.
  void Run() {
    while (!events_.empty()) {
      // top() is const; the event is removed at once, so moving is safe.
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.time;
      event.action();
    }
  }

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t number;
    std::function<void()> action;

    bool operator<(const Event& other) const {
      return std::pair(time, number) > std::pair(other.time, other.number);
    }
  };

  // Starts above zero, because a zero time often means "never".
  MonotonicTime now_{std::chrono::seconds(1000)};
  std::uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_BENCHMARKS_ROUTING_EVENT_QUEUE_H_
