// Schedule of large answers on an instance's link.

#ifndef OLEANDERTIDE_MESH_BULK_SCHEDULE_H_
#define OLEANDERTIDE_MESH_BULK_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "core/time.h"

namespace oleandertide::mesh {

// The sender divides large answers into parts and hands one part at a time to
// the operating system; small answers then wait behind one part at most. The
// answer with the fewest bytes left goes first: if all were sent concurrently,
// all would be late.
//
// Load pattern: several downloads of about 90 kB become ready at the same time
// on links of 5 Mbit/s.
//
// Not thread-safe.
class BulkSchedule {
 public:
  // Identifies an answer.
  using Ticket = std::uint64_t;

  // Adds an answer. Preconditions: the ticket is not in use; bytes > 0.
  void Add(Ticket ticket, std::size_t bytes);

  // Removes an answer, if the schedule contains it.
  void Remove(Ticket ticket);

  // Records that `bytes` of an answer were sent; removes the answer after its
  // last byte. Precondition: the answer has that many bytes left.
  void RecordSent(Ticket ticket, std::size_t bytes);

  // Returns the answer whose next part is to be sent, among those for which
  // `can_send` returns true; none if there is no such answer.
  std::optional<Ticket> Next(const std::function<bool(Ticket)>& can_send) const;

  // Total bytes not sent yet, over all answers.
  std::size_t remaining_bytes() const { return remaining_bytes_; }
  bool is_empty() const { return bytes_left_by_ticket_.empty(); }

 private:
  // Earlier answers have lower tickets and go first among equals.
  std::map<Ticket, std::size_t> bytes_left_by_ticket_;
  std::size_t remaining_bytes_ = 0;
};

// Returns the size in bytes of a part on a link of `mbps` megabits per second.
// Thread-safe. Precondition: mbps > 0.
std::size_t ChoosePartBytes(double mbps);

// Returns the delay before the next part is sent, for a link that needs
// `link_wait` to send its current backlog. Thread-safe.
Duration ChoosePartDelay(Duration link_wait);

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_BULK_SCHEDULE_H_
