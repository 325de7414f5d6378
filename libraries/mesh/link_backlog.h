// Bytes that wait on an instance's link.

#ifndef OLEANDERTIDE_MESH_LINK_BACKLOG_H_
#define OLEANDERTIDE_MESH_LINK_BACKLOG_H_

#include <cstddef>

#include "core/time.h"

namespace oleandertide::mesh {

// Returns the time that an idle link of `mbps` megabits per second takes for
// `bytes`. Precondition: mbps > 0. Thread-safe.
Duration TransferTime(double bytes, double mbps);

// The inverse: the bytes that it sends in `time`. Thread-safe.
double TransferableBytes(Duration time, double mbps);

// Estimates how long a byte that is sent now waits on the link, by the bytes
// sent and the link's bandwidth: the system's buffers cannot be asked.
//
// Load pattern: answers of some 90 kB on links of 5 Mbit/s, where one takes
// 144 ms and holds up the small answers behind it.
//
// Not thread-safe.
class LinkBacklog {
 public:
  // Precondition: mbps > 0.
  explicit LinkBacklog(double mbps) : mbps_(mbps) {}

  // Records that `bytes` are on their way to the system.
  void Add(MonotonicTime now, std::size_t bytes);

  // Returns the time until the link has sent what it was given.
  Duration Wait(MonotonicTime now) const;

  // Returns the time that the idle link takes for `bytes`.
  Duration TransferTime(std::size_t bytes) const {
    return mesh::TransferTime(static_cast<double>(bytes), mbps_);
  }

  double mbps() const { return mbps_; }

 private:
  double mbps_;
  // When the link will have sent everything.
  MonotonicTime free_at_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_LINK_BACKLOG_H_
