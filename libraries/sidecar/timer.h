// A timer of the event loop.

#ifndef OLEANDERTIDE_SIDECAR_TIMER_H_
#define OLEANDERTIDE_SIDECAR_TIMER_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <utility>

#include "core/time.h"
#include "sidecar/event_loop.h"

namespace oleandertide::sidecar {

// Calls a function once after a delay. Only the last Start counts: a function
// that was replaced, cancelled or whose timer is gone is never called, also if
// its delay had passed and the loop had already queued the call. That happens
// whenever the loop handles several events in one turn, for example after the
// process stood still. Not thread-safe.
class Timer {
 public:
  // Precondition: `loop` outlives the timer.
  explicit Timer(EventLoop& loop)
      : timer_(loop), generation_(std::make_shared<std::uint64_t>(0)) {}

  ~Timer() { Cancel(); }

  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Calls `on_expired` after `delay` instead of what an earlier Start gave. It
  // may start or destroy the timer.
  template <typename OnExpired>
  void Start(Duration delay, OnExpired on_expired) {
    const std::uint64_t generation = ++*generation_;
    timer_.expires_after(delay);
    timer_.async_wait(
        [current = generation_, generation, on_expired = std::move(on_expired)](
            const boost::system::error_code& error) mutable {
          if (error || *current != generation) return;
          // The timer is idle while the function runs.
          ++*current;
          on_expired();
        });
  }

  // Does nothing if the timer is idle.
  void Cancel() {
    ++*generation_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  // Shared with the queued call, which may outlive the timer. Changes with each
  // Start and Cancel, and at the end.
  std::shared_ptr<std::uint64_t> generation_;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_TIMER_H_
