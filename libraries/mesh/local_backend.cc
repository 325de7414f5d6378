#include "mesh/local_backend.h"

#include <algorithm>

namespace oleandertide::mesh {

std::string_view ToString(BackendStanding standing) {
  switch (standing) {
    case BackendStanding::kUnknown:
      return "unknown";
    case BackendStanding::kUnverified:
      return "unverified";
    case BackendStanding::kServing:
      return "serving";
    case BackendStanding::kDraining:
      return "draining";
    case BackendStanding::kDown:
      return "down";
  }
  return "unknown-standing";
}

LocalBackend::Effect LocalBackend::Apply(const Announcement& announcement,
                                         MonotonicTime now) {
  const bool is_first = !announcement_.has_value();
  bool is_same = false;
  if (!is_first) {
    is_same = announcement.id == announcement_->id &&
              announcement.started_at_ms == announcement_->started_at_ms;
    const bool is_older =
        is_same ? announcement.sequence <= announcement_->sequence
                : announcement.started_at_ms <= announcement_->started_at_ms;
    if (is_older || (is_same && has_departed_)) return Effect::kStale;
  }
  announcement_ = announcement;
  announced_at_ = now;
  const BackendStanding before = standing_;
  if (!is_same) {
    leaving_since_.reset();
    has_departed_ = false;
    standing_ = is_first && options_.verifies_first
                    ? BackendStanding::kUnverified
                    : BackendStanding::kServing;
  }
  if (announcement.is_draining) {
    if (!leaving_since_) leaving_since_ = now;
    standing_ = BackendStanding::kDraining;
  } else if (leaving_since_) {
    // A departure is never taken back within an incarnation.
    standing_ = BackendStanding::kDraining;
  } else if (standing_ == BackendStanding::kDown) {
    standing_ = BackendStanding::kServing;
  }
  if (!is_same) return Effect::kReplaced;
  return standing_ == before ? Effect::kRefreshed : Effect::kChanged;
}

LocalBackend::Effect LocalBackend::ApplyDeparture(const Departure& departure,
                                                  MonotonicTime now) {
  if (!announcement_ || departure.id != announcement_->id) {
    return Effect::kStale;
  }
  // A notice of an earlier incarnation with the same id says nothing of this
  // one.
  if (departure.started_at_ms != 0 &&
      departure.started_at_ms < announcement_->started_at_ms) {
    return Effect::kStale;
  }
  const BackendStanding before = standing_;
  has_departed_ = true;
  if (!leaving_since_) leaving_since_ = now;
  standing_ = BackendStanding::kDraining;
  return standing_ == before ? Effect::kRefreshed : Effect::kChanged;
}

void LocalBackend::RecordVerification(std::string_view id, bool is_healthy) {
  if (standing_ != BackendStanding::kUnverified) return;
  if (is_healthy && id == announcement_->id) {
    standing_ = BackendStanding::kServing;
  }
}

void LocalBackend::RecordDown() {
  if (standing_ == BackendStanding::kServing) {
    standing_ = BackendStanding::kDown;
  }
}

bool LocalBackend::is_dispatch_allowed(MonotonicTime now) const {
  if (standing_ == BackendStanding::kServing) return true;
  return standing_ == BackendStanding::kDraining &&
         now - *leaving_since_ < options_.drain_fence;
}

Duration LocalBackend::cold_remaining(MonotonicTime now) const {
  if (!announcement_) return Duration::zero();
  return std::max(Duration::zero(),
                  announcement_->cold_remaining - (now - announced_at_));
}

}  // namespace oleandertide::mesh
