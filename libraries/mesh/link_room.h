// Whether the link of an instance has room for a large answer.

#ifndef OLEANDERTIDE_MESH_LINK_ROOM_H_
#define OLEANDERTIDE_MESH_LINK_ROOM_H_

#include <cstddef>
#include <optional>

#include "core/time.h"

namespace oleandertide::mesh {

struct AnswerOnLink {
  // Mean size of the route's answers; 0 if unknown or if there is no body.
  std::size_t expected_bytes = 0;
  // Mean run time of the route's requests.
  Duration expected_run{};
  Duration target_latency{};
  // Time since the arrival of the request.
  Duration elapsed{};
};

// Returns the longest time that a link may need for what is promised before the
// answer, if the request is to be placed there; nothing for small answers,
// which overtake large ones.
//
// A link that is given more large answers than it can carry sends each of them
// late: its queue grows until clients give up. With the queue bounded below the
// target latency it carries as many, in time, and the others are refused at
// once instead of after a wait.
//
// Load pattern: downloads of 90 kB, 100 Mbit/s of them, at five instances with
// links of 14 Mbit/s. Thread-safe.
std::optional<Duration> ChooseLinkAllowance(const AnswerOnLink& answer);

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_LINK_ROOM_H_
