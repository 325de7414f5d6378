// Heartbeats and departure notices of a backend server.

#ifndef OLEANDERTIDE_MESH_ANNOUNCEMENT_H_
#define OLEANDERTIDE_MESH_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>

#include "core/time.h"

namespace oleandertide::mesh {

// One heartbeat of a backend server.
struct Announcement {
  // Identifies the backend server; a restart may keep it.
  std::string id{};
  std::string service{};
  // Version of the backend server's software; empty if it does not tell.
  std::string version{};
  // IP:port of the backend server.
  std::string address{};
  bool is_draining = false;
  // Number of requests that it can run concurrently.
  int slots = 0;
  // Remaining time of its warm-up, during which it runs slowly.
  Duration cold_remaining{};
  // Start time in milliseconds since the Unix epoch; tells incarnations apart.
  std::int64_t started_at_ms = 0;
  // Grows with each heartbeat of an incarnation.
  std::uint64_t sequence = 0;
};

// Notice that a backend server has left or is about to leave.
struct Departure {
  std::string id{};
  // As in Announcement; zero if the notice does not contain it.
  std::int64_t started_at_ms = 0;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_ANNOUNCEMENT_H_
