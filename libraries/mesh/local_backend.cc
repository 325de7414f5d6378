#include "mesh/local_backend.h"

#include <algorithm>

namespace oleandertide::mesh {
namespace {

// Number of heartbeats, and the minimum time between the first and the last of
// them, that prove that the sender is alive and not leaving. Backend servers
// send a heartbeat every 1.5 s. Delayed heartbeats arrive in one burst, and
// only delayed ones arrive after the sender's departure.
constexpr int kMinLivenessHeartbeats = 3;
constexpr Duration kMinLivenessSpan = std::chrono::seconds(2);

// Number of stored departures. Exceeds the number of backend servers that can
// start at one address while heartbeats of the first may still be in transit.
constexpr std::size_t kMaxDepartures = 16;

bool ProvesLiveness(int heartbeats, Duration span) {
  return heartbeats >= kMinLivenessHeartbeats && span >= kMinLivenessSpan;
}

}  // namespace

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
  if (HasDeparted(announcement)) return Effect::kStale;
  if (!announcement_) {
    Replace(announcement,
            options_.requires_verification ? BackendStanding::kUnverified
                                           : BackendStanding::kServing,
            now);
    return Effect::kReplaced;
  }
  const bool is_same =
      announcement.id == announcement_->id &&
      announcement.started_at_ms == announcement_->started_at_ms;
  if (!is_same) {
    if (announcement.started_at_ms <= announcement_->started_at_ms) {
      return ApplyAmbiguous(announcement, now);
    }
    Replace(announcement, BackendStanding::kServing, now);
    return Effect::kReplaced;
  }
  if (announcement.sequence <= announcement_->sequence) return Effect::kStale;
  possible_successor_.reset();
  announcement_ = announcement;
  announced_at_ = now;
  ++heartbeats_;
  const BackendStanding before = standing_;
  if (announcement.is_draining && !leaving_since_) leaving_since_ = now;
  if (leaving_since_) {
    // An incarnation that has announced its departure never serves again.
    standing_ = BackendStanding::kDraining;
  } else if (standing_ == BackendStanding::kDown ||
             (standing_ == BackendStanding::kUnverified &&
              ProvesLiveness(heartbeats_, now - first_announced_at_))) {
    standing_ = BackendStanding::kServing;
  }
  return standing_ == before ? Effect::kRefreshed : Effect::kChanged;
}

LocalBackend::Effect LocalBackend::ApplyAmbiguous(
    const Announcement& announcement, MonotonicTime now) {
  const bool is_known =
      possible_successor_ &&
      possible_successor_->announcement.id == announcement.id &&
      possible_successor_->announcement.started_at_ms ==
          announcement.started_at_ms;
  if (!is_known) {
    possible_successor_ = PossibleSuccessor{.announcement = announcement,
                                            .first_received_at = now};
  }
  if (is_known &&
      announcement.sequence <= possible_successor_->announcement.sequence) {
    return Effect::kStale;
  }
  possible_successor_->announcement = announcement;
  ++possible_successor_->heartbeats;
  if (!ProvesLiveness(possible_successor_->heartbeats,
                      now - possible_successor_->first_received_at)) {
    return Effect::kAmbiguous;
  }
  Replace(announcement, BackendStanding::kServing, now);
  return Effect::kReplaced;
}

void LocalBackend::Replace(const Announcement& announcement,
                           BackendStanding standing, MonotonicTime now) {
  if (leaving_since_) {
    RememberDeparture({.id = announcement_->id,
                       .started_at_ms = announcement_->started_at_ms});
  }
  // Copies, since `announcement` may refer to `possible_successor_`.
  announcement_ = Announcement(announcement);
  announced_at_ = now;
  first_announced_at_ = now;
  heartbeats_ = 1;
  possible_successor_.reset();
  leaving_since_.reset();
  standing_ = standing;
  if (announcement_->is_draining) {
    leaving_since_ = now;
    standing_ = BackendStanding::kDraining;
  }
}

void LocalBackend::RememberDeparture(const Departure& departure) {
  departures_.push_back(departure);
  if (departures_.size() > kMaxDepartures) departures_.pop_front();
}

bool LocalBackend::HasDeparted(const Announcement& announcement) const {
  return std::ranges::any_of(departures_, [&](const Departure& departure) {
    return departure.id == announcement.id &&
           departure.started_at_ms == announcement.started_at_ms;
  });
}

LocalBackend::Effect LocalBackend::ApplyDeparture(const Departure& departure,
                                                  MonotonicTime now) {
  const bool is_current = announcement_ && departure.id == announcement_->id;
  Departure remembered = departure;
  if (remembered.started_at_ms == 0 && is_current) {
    remembered.started_at_ms = announcement_->started_at_ms;
  }
  if (remembered.started_at_ms != 0) RememberDeparture(remembered);
  if (possible_successor_ && HasDeparted(possible_successor_->announcement))
    possible_successor_.reset();
  if (!is_current) return Effect::kStale;
  // A notice of an earlier incarnation with the same id does not apply to the
  // known one, unless the clock was set back.
  if (remembered.started_at_ms < announcement_->started_at_ms) {
    return Effect::kAmbiguous;
  }
  const BackendStanding before = standing_;
  if (!leaving_since_) leaving_since_ = now;
  standing_ = BackendStanding::kDraining;
  return standing_ == before ? Effect::kRefreshed : Effect::kChanged;
}

bool LocalBackend::needs_verification() const {
  return standing_ == BackendStanding::kUnverified ||
         (possible_successor_ &&
          possible_successor_->announcement.id != announcement_->id);
}

bool LocalBackend::RecordVerification(std::string_view id, bool is_healthy,
                                      MonotonicTime now) {
  if (!is_healthy) return false;
  if (possible_successor_ && id == possible_successor_->announcement.id &&
      id != announcement_->id) {
    Replace(possible_successor_->announcement, BackendStanding::kServing, now);
    return true;
  }
  // The known incarnation is alive, so the heartbeats of the other were late.
  if (possible_successor_ && id == announcement_->id)
    possible_successor_.reset();
  if (standing_ == BackendStanding::kUnverified && id == announcement_->id) {
    standing_ = BackendStanding::kServing;
  }
  return false;
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
