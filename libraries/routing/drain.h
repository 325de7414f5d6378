// Graceful shutdown of a node.

#ifndef OLEANDERTIDE_ROUTING_DRAIN_H_
#define OLEANDERTIDE_ROUTING_DRAIN_H_

#include <chrono>
#include <optional>
#include <string_view>

#include "core/time.h"

namespace oleandertide::routing {

enum class DrainState {
  kServing,
  kAnnouncing,  // Others are told; work that is already under way is accepted.
  kFinishing,   // New work is refused with kDraining; work in flight finishes.
  kStopped,     // The process may end.
};

enum class StopCause { kFinished, kDeadline, kSecondSignal };

// Decides when a node that was asked to stop may end. Not thread-safe; times
// must not decrease between calls.
class Drain {
 public:
  // Members learn of the draining state within two gossip intervals on average;
  // a request chosen before that still arrives during this time. Refusing it
  // would be safe but would use up the retry budget of its caller.
  static constexpr Duration kAnnounceTime = std::chrono::seconds(2);
  // Counted from the first signal.
  static constexpr Duration kDeadline = std::chrono::seconds(30);

  explicit Drain(Duration announce_time = kAnnounceTime,
                 Duration deadline = kDeadline)
      : announce_time_(announce_time), deadline_(deadline) {}

  // Records SIGTERM or the announcement that the backend server leaves. A
  // second signal stops at once.
  DrainState Signal(MonotonicTime now);

  // Returns the state at `now` with `in_flight` requests queued or running.
  DrainState Advance(MonotonicTime now, int in_flight);

  // Returns when Advance() must be called next if no request ends before.
  std::optional<MonotonicTime> next_change() const;

  DrainState state() const { return state_; }

  // Returns true from the first signal on; the member state is then draining.
  bool is_draining() const { return state_ != DrainState::kServing; }

  // Returns true while new work is accepted.
  bool is_accepting() const {
    return state_ == DrainState::kServing || state_ == DrainState::kAnnouncing;
  }

  // Returns why the drain ended, once the state is kStopped.
  std::optional<StopCause> stop_cause() const { return stop_cause_; }

 private:
  DrainState Stop(StopCause cause);

  Duration announce_time_;
  Duration deadline_;
  DrainState state_ = DrainState::kServing;
  MonotonicTime signalled_;
  std::optional<StopCause> stop_cause_;
};

// Returns the name for logs and status pages. Thread-safe.
std::string_view DrainStateName(DrainState state);

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_DRAIN_H_
