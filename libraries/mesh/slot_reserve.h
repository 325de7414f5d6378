// Slots that requests of clients leave free for calls of backend servers.

#ifndef OLEANDERTIDE_MESH_SLOT_RESERVE_H_
#define OLEANDERTIDE_MESH_SLOT_RESERVE_H_

#include "core/time.h"

namespace oleandertide::mesh {

// Backend servers call each other while they hold a slot. If requests of
// clients fill all slots of one service, the calls to it wait or are refused,
// and with them fail the requests that made them, also at other services. So
// requests of clients leave some slots free where such calls arrive: half of
// those that the calls have needed recently, rounded up, but at most a third of
// all. Calls are short and go first, so a few slots are enough for the others
// as well; a larger share would leave clients too few slots at the full rate.
//
// Load pattern: one service with few slots runs long requests of clients and
// many short calls of other services.
//
// Not thread-safe.
class SlotReserve {
 public:
  // Without this, no slots are reserved.
  void set_enabled(bool is_enabled) { is_enabled_ = is_enabled; }

  // Records that `demand` calls wait or run from `now` on. Precondition: `now`
  // does not decrease.
  void Record(MonotonicTime now, int demand);

  // Returns the number of slots to reserve out of `slots`, in use by calls or
  // not.
  int Count(int slots) const;

 private:
  bool is_enabled_ = false;
  int demand_ = 0;
  // Average over time of the number of calls.
  double mean_demand_ = 0;
  MonotonicTime recorded_at_{};
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_SLOT_RESERVE_H_
