// What a backend server says of itself.

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
  // IP:port of the backend server.
  std::string address{};
  bool is_draining = false;
  // Requests that it runs concurrently.
  int slots = 0;
  // How much longer it stays slow after its start.
  Duration cold_remaining{};
  // Time of day of its start in Unix milliseconds: distinguishes incarnations.
  std::int64_t started_at_ms = 0;
  // Grows with each heartbeat of an incarnation.
  std::uint64_t sequence = 0;
};

// The notice that a backend server has left or is about to.
struct Departure {
  std::string id{};
  // As in Announcement; zero if the notice does not say.
  std::int64_t started_at_ms = 0;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_ANNOUNCEMENT_H_
