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
  kAnnouncing,  // Other nodes are being notified; new requests are accepted.
  kFinishing,   // New requests are refused with kDraining; others finish.
  kStopped,     // The process may exit.
};

enum class StopCause { kFinished, kDeadline, kSecondSignal };

// State machine that determines when a node that was asked to stop may exit.
// Not thread-safe; times must not decrease between calls.
class Drain {
 public:
  // Time from the first signal during which new requests are still accepted.
  // Members learn of the draining state within two gossip intervals on average;
  // until then they send requests to this node. Refusing these would be safe
  // but would use up the retry budgets of their callers.
  static constexpr Duration kAnnounceTime = std::chrono::seconds(2);
  // Time from the first signal until the node stops even if requests are in
  // flight.
  static constexpr Duration kDeadline = std::chrono::seconds(30);

  explicit Drain(Duration announce_time = kAnnounceTime,
                 Duration deadline = kDeadline)
      : announce_time_(announce_time), deadline_(deadline) {}

  // Records SIGTERM or the announcement that the backend server is leaving. A
  // second signal stops the node immediately.
  DrainState Signal(MonotonicTime now);

  // Returns the state at `now` with `in_flight` requests queued or running.
  DrainState Advance(MonotonicTime now, int in_flight);

  // Returns when Advance() must be called next if no request ends before, or
  // nullopt if the state does not change with time.
  std::optional<MonotonicTime> next_change() const;

  DrainState state() const { return state_; }

  // Returns true from the first signal on. The node's member state is then
  // draining.
  bool is_draining() const { return state_ != DrainState::kServing; }

  // Returns true while new requests are accepted.
  bool is_accepting() const {
    return state_ == DrainState::kServing || state_ == DrainState::kAnnouncing;
  }

  // Returns why the drain ended, or nullopt before the state is kStopped.
  std::optional<StopCause> stop_cause() const { return stop_cause_; }

 private:
  DrainState Stop(StopCause cause);

  Duration announce_time_;
  Duration deadline_;
  DrainState state_ = DrainState::kServing;
  MonotonicTime signalled_;
  std::optional<StopCause> stop_cause_;
};

// Returns the name of the state in logs and status pages. Thread-safe.
std::string_view DrainStateName(DrainState state);

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_DRAIN_H_
