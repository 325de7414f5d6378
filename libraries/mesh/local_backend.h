// What a node believes of the backend server beside it.

#ifndef OLEANDERTIDE_MESH_LOCAL_BACKEND_H_
#define OLEANDERTIDE_MESH_LOCAL_BACKEND_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"
#include "mesh/announcement.h"

namespace oleandertide::mesh {

enum class BackendStanding : std::uint8_t {
  // Nothing was heard of it.
  kUnknown,
  // It announced itself, but may have left in an earlier life of this node.
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
// their old id, and their heartbeats arrive late or after their death.
//
// Not thread-safe.
class LocalBackend {
 public:
  struct Options {
    // Whether the first backend server must pass a health check before use:
    // an earlier life of this node may have acknowledged that it is leaving.
    bool verifies_first = true;
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
  };

  explicit LocalBackend(const Options& options) : options_(options) {}

  // Takes in a heartbeat.
  Effect Apply(const Announcement& announcement, MonotonicTime now);

  // Takes in the notice that the backend server leaves.
  Effect ApplyDeparture(const Departure& departure, MonotonicTime now);

  // The backend server with `id` answered a health check.
  // Precondition: standing() is kUnverified.
  void RecordVerification(std::string_view id, bool is_healthy);

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
  const Options options_;
  BackendStanding standing_ = BackendStanding::kUnknown;
  std::optional<Announcement> announcement_;
  MonotonicTime announced_at_;
  std::optional<MonotonicTime> leaving_since_;
  bool has_departed_ = false;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_LOCAL_BACKEND_H_
