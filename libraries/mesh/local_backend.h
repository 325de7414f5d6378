// State of the backend server on the same instance, as its node knows it.

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
  // No announcement has been received.
  kUnknown,
  // It announced itself, but may have departed before this node restarted. A
  // health check or further heartbeats verify it.
  kUnverified,
  kServing,
  // It accepts requests until the drain fence and finishes those in flight.
  kDraining,
  // It refuses connections; requests wait for its next announcement.
  kDown,
};

// Stable name for logs. Thread-safe.
std::string_view ToString(BackendStanding standing);

// Orders announcements by incarnation and sequence: late and repeated ones, and
// those of other incarnations, do not change the state. Guarantees that a
// backend server that is leaving gets no new requests. Only the node on the
// same instance can reach a backend server, so the guarantee holds for the
// whole fleet, whatever other nodes know.
//
// Expected load: backend servers are replaced one after the other, restart with
// the same id, and their heartbeats arrive late or after they have exited.
// Clocks are set back by seconds, so a backend server that restarts soon
// afterwards may report an earlier start than its predecessor.
//
// Not thread-safe.
class LocalBackend {
 public:
  struct Options {
    // Whether the first backend server must be verified before use: this node
    // may have acknowledged its departure before a restart.
    bool requires_verification = true;
    // Time after the acknowledgement of a departure during which requests may
    // still be dispatched to the backend server.
    Duration drain_fence = std::chrono::milliseconds(1500);
  };

  enum class Effect : std::uint8_t {
    // Late, repeated, or from a backend server that has departed.
    kStale,
    kRefreshed,
    // The standing changed.
    kChanged,
    // Another backend server or a later incarnation replaced the known one.
    kReplaced,
    // From an incarnation that started before the known one by its own clock.
    // Either the message is late, or the clock was set back between the starts.
    kAmbiguous,
  };

  explicit LocalBackend(const Options& options) : options_(options) {}

  // Applies a heartbeat. If the result is kAmbiguous, a health check determines
  // which backend server runs at the address. If both have the same id, further
  // heartbeats decide.
  Effect Apply(const Announcement& announcement, MonotonicTime now);

  // Applies a notice that the backend server leaves.
  Effect ApplyDeparture(const Departure& departure, MonotonicTime now);

  // Whether a health check can resolve an uncertain state.
  bool needs_verification() const;

  // Records that the backend server with `id` answered a health check. Returns
  // whether it replaced the known backend server.
  bool RecordVerification(std::string_view id, bool is_healthy,
                          MonotonicTime now);

  // Records that the backend server refuses connections.
  void RecordDown();

  // Whether the node accepts new requests from other nodes.
  bool is_accepting() const { return standing_ == BackendStanding::kServing; }

  // Whether requests that this node has accepted may be dispatched.
  bool is_dispatch_allowed(MonotonicTime now) const;

  BackendStanding standing() const { return standing_; }

  // Precondition: standing() is not kUnknown.
  const Announcement& announcement() const { return *announcement_; }

  // Remaining time during which the backend server is slow after its start.
  Duration cold_remaining(MonotonicTime now) const;

 private:
  // An incarnation that may have replaced the known one, although its clock
  // shows an earlier start.
  struct PossibleSuccessor {
    Announcement announcement;
    MonotonicTime first_received_at;
    int heartbeats = 0;
  };

  Effect ApplyAmbiguous(const Announcement& announcement, MonotonicTime now);
  // Makes a new incarnation the known one.
  void Replace(const Announcement& announcement, BackendStanding standing,
               MonotonicTime now);
  void RememberDeparture(const Departure& departure);
  bool HasDeparted(const Announcement& announcement) const;

  const Options options_;
  BackendStanding standing_ = BackendStanding::kUnknown;
  std::optional<Announcement> announcement_;
  MonotonicTime announced_at_;
  MonotonicTime first_announced_at_;
  // Number of heartbeats received from the known incarnation.
  int heartbeats_ = 0;
  std::optional<MonotonicTime> leaving_since_;
  std::optional<PossibleSuccessor> possible_successor_;
  // The latest departures, including those of unknown backend servers.
  std::deque<Departure> departures_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_LOCAL_BACKEND_H_
