#include "routing/drain.h"

namespace oleandertide::routing {

DrainState Drain::Signal(MonotonicTime now) {
  if (state_ == DrainState::kStopped) return state_;
  if (state_ != DrainState::kServing) return Stop(StopCause::kSecondSignal);
  signalled_ = now;
  return state_ = DrainState::kAnnouncing;
}

DrainState Drain::Advance(MonotonicTime now, int in_flight) {
  if (state_ == DrainState::kServing || state_ == DrainState::kStopped) {
    return state_;
  }
  const Duration elapsed = now - signalled_;
  if (elapsed < announce_time_) return state_;
  state_ = DrainState::kFinishing;
  if (in_flight <= 0) return Stop(StopCause::kFinished);
  if (elapsed >= deadline_) return Stop(StopCause::kDeadline);
  return state_;
}

std::optional<MonotonicTime> Drain::next_change() const {
  switch (state_) {
    case DrainState::kAnnouncing:
      return signalled_ + announce_time_;
    case DrainState::kFinishing:
      return signalled_ + deadline_;
    case DrainState::kServing:
    case DrainState::kStopped:
      break;
  }
  return std::nullopt;
}

DrainState Drain::Stop(StopCause cause) {
  stop_cause_ = cause;
  return state_ = DrainState::kStopped;
}

std::string_view DrainStateName(DrainState state) {
  switch (state) {
    case DrainState::kServing:
      return "serving";
    case DrainState::kAnnouncing:
      return "announcing";
    case DrainState::kFinishing:
      return "finishing";
    case DrainState::kStopped:
      break;
  }
  return "stopped";
}

}  // namespace oleandertide::routing
