// The order in which large answers use an instance's link.

#ifndef OLEANDERTIDE_MESH_BULK_SCHEDULE_H_
#define OLEANDERTIDE_MESH_BULK_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "core/time.h"

namespace oleandertide::mesh {

// Large answers are sent in parts, and one part at a time is handed to the
// system, so that small answers never wait behind more than that. Among the
// answers the one with the fewest bytes left goes first: sent side by side all
// of them would be late.
//
// Load pattern: downloads of some 90 kB end together on links of 5 Mbit/s.
//
// Not thread-safe.
class BulkSchedule {
 public:
  // Names an answer.
  using Ticket = std::uint64_t;

  // Adds an answer. Preconditions: the ticket is not in use; bytes > 0.
  void Add(Ticket ticket, std::size_t bytes);

  // Removes an answer, if it is there.
  void Remove(Ticket ticket);

  // Records that a part of an answer was sent; the answer is removed with its
  // last byte. Precondition: the answer has that many bytes left.
  void RecordSent(Ticket ticket, std::size_t bytes);

  // Returns the answer that sends its next part, among those that `can_send`
  // accepts.
  std::optional<Ticket> Next(const std::function<bool(Ticket)>& can_send) const;

  // Bytes that have not been sent.
  std::size_t remaining_bytes() const { return remaining_bytes_; }
  bool is_empty() const { return bytes_left_by_ticket_.empty(); }

 private:
  // Bytes left, by ticket: earlier answers have lower tickets.
  std::map<Ticket, std::size_t> bytes_left_by_ticket_;
  std::size_t remaining_bytes_ = 0;
};

// Size of a part on a link of that bandwidth. Thread-safe.
// Precondition: mbps > 0.
std::size_t ChoosePartBytes(double mbps);

// Time for which the next part is held back while the link is busy for
// `link_wait` with what it was given. Thread-safe.
Duration ChoosePartDelay(Duration link_wait);

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_BULK_SCHEDULE_H_
