// What a node believes of the backend server beside it.

#ifndef OLEANDERTIDE_MESH_LOCAL_BACKEND_H_
#define OLEANDERTIDE_MESH_LOCAL_BACKEND_H_

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"
#include "mesh/announcement.h"

namespace oleandertide::mesh {

enum class BackendStanding : std::uint8_t {
  // Nothing was heard of it.
  kUnknown,
  // It announced itself, but may have left in an earlier life of this node. A
  // health check or further heartbeats end the doubt.
  kUnverified,
  kServing,
  // It takes requests until the drain fence and finishes those in flight.
  kDraining,
  // It refuses connections; requests wait for its next announcement.
  kDown,
};

// Stable name for logs. Thread-safe.
std::string_view ToString(BackendStanding standing);

// Orders announcements by incarnation and sequence, so that late, repeated and
// foreign ones change nothing, and keeps the promise that a leaving backend
// server gets no new requests. Only the node beside a backend server can reach
// it, so this promise holds for the fleet whatever other nodes know.
//
// Load pattern: backend servers are replaced one after the other, restart under
// their old id, and their heartbeats arrive late or after their death. Clocks
// are set back by seconds, so a backend server that restarts soon may seem to
// have started before the one that it follows.
//
// Not thread-safe.
class LocalBackend {
 public:
  struct Options {
    // Whether the first backend server must pass a health check before use:
    // an earlier life of this node may have acknowledged that it is leaving.
    bool requires_verification = true;
    // Time after the acknowledgement of a departure until which requests may
    // still be handed over.
    Duration drain_fence = std::chrono::milliseconds(1500);
  };

  enum class Effect : std::uint8_t {
    // Late, repeated, or of a backend server that has left.
    kStale,
    kRefreshed,
    // The standing changed.
    kChanged,
    // Another backend server or a later incarnation took the place.
    kReplaced,
    // Of an incarnation that started before the known one by its own clock.
    // Either this is late, or the clock was set back between the starts.
    kAmbiguous,
  };

  explicit LocalBackend(const Options& options) : options_(options) {}

  // Takes in a heartbeat. If it is doubtful, a health check tells which backend
  // server lives at the address, unless both have the same id; then further
  // heartbeats decide.
  Effect Apply(const Announcement& announcement, MonotonicTime now);

  // Takes in the notice that the backend server leaves.
  Effect ApplyDeparture(const Departure& departure, MonotonicTime now);

  // Whether a health check would tell more.
  bool needs_verification() const;

  // The backend server with `id` answered a health check. Returns whether
  // another backend server took the place.
  bool RecordVerification(std::string_view id, bool is_healthy,
                          MonotonicTime now);

  // The backend server refuses connections.
  void RecordDown();

  // Whether new requests of other nodes are to be accepted.
  bool is_accepting() const { return standing_ == BackendStanding::kServing; }

  // Whether requests that are already here may be handed over.
  bool is_dispatch_allowed(MonotonicTime now) const;

  BackendStanding standing() const { return standing_; }

  // Precondition: standing() is not kUnknown.
  const Announcement& announcement() const { return *announcement_; }

  // How much longer the backend server is slow after its start.
  Duration cold_remaining(MonotonicTime now) const;

 private:
  // An incarnation that may have followed the known one, in spite of its clock.
  struct PossibleSuccessor {
    Announcement announcement;
    MonotonicTime first_received_at;
    int heartbeats = 0;
  };

  Effect ApplyAmbiguous(const Announcement& announcement, MonotonicTime now);
  // Takes over what a new incarnation says.
  void Replace(const Announcement& announcement, BackendStanding standing,
               MonotonicTime now);
  void RememberDeparture(const Departure& departure);
  bool HasDeparted(const Announcement& announcement) const;

  const Options options_;
  BackendStanding standing_ = BackendStanding::kUnknown;
  std::optional<Announcement> announcement_;
  MonotonicTime announced_at_;
  MonotonicTime first_announced_at_;
  // Of the known incarnation.
  int heartbeats_ = 0;
  std::optional<MonotonicTime> leaving_since_;
  std::optional<PossibleSuccessor> possible_successor_;
  // The last departures, also of backend servers that were not known.
  std::deque<Departure> departures_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_LOCAL_BACKEND_H_
