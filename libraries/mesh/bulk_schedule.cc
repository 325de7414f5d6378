#include "mesh/bulk_schedule.h"

#include <algorithm>

#include "mesh/link_backlog.h"

namespace oleandertide::mesh {
namespace {

// Transfer time of one part on the link; a small answer waits about as long. It
// is short compared with the shortest run times of the sites, about 40 ms.
constexpr Duration kPartTransferTime = std::chrono::milliseconds(10);

// Smaller parts would cost more processor time than they save in waiting;
// larger ones would cost memory.
constexpr std::size_t kMinPartBytes = std::size_t{4} << 10U;
constexpr std::size_t kMaxPartBytes = std::size_t{64} << 10U;

// Time before the link becomes free at which the next part is sent: timers fire
// slightly late, and the link would be idle meanwhile.
constexpr Duration kPartLeadTime = std::chrono::milliseconds(5);

}  // namespace

void BulkSchedule::Add(Ticket ticket, std::size_t bytes) {
  bytes_left_by_ticket_.emplace(ticket, bytes);
  remaining_bytes_ += bytes;
}

void BulkSchedule::Remove(Ticket ticket) {
  const auto found = bytes_left_by_ticket_.find(ticket);
  if (found == bytes_left_by_ticket_.end()) return;
  remaining_bytes_ -= found->second;
  bytes_left_by_ticket_.erase(found);
}

void BulkSchedule::RecordSent(Ticket ticket, std::size_t bytes) {
  const auto found = bytes_left_by_ticket_.find(ticket);
  found->second -= bytes;
  remaining_bytes_ -= bytes;
  if (found->second == 0) bytes_left_by_ticket_.erase(found);
}

std::optional<BulkSchedule::Ticket> BulkSchedule::Next(
    const std::function<bool(Ticket)>& can_send) const {
  std::optional<Ticket> next;
  std::size_t fewest = 0;
  for (const auto& [ticket, left] : bytes_left_by_ticket_) {
    if (next && left >= fewest) continue;
    if (!can_send(ticket)) continue;
    next = ticket;
    fewest = left;
  }
  return next;
}

std::size_t ChoosePartBytes(double mbps) {
  return static_cast<std::size_t>(std::clamp(
      TransferableBytes(kPartTransferTime, mbps),
      static_cast<double>(kMinPartBytes), static_cast<double>(kMaxPartBytes)));
}

Duration ChoosePartDelay(Duration link_wait) {
  return std::max(Duration::zero(), link_wait - kPartLeadTime);
}

}  // namespace oleandertide::mesh
