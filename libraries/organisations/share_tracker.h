// Which organisations use more than their share.

#ifndef OLEANDERTIDE_ORGANISATIONS_SHARE_TRACKER_H_
#define OLEANDERTIDE_ORGANISATIONS_SHARE_TRACKER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "core/time.h"

namespace oleandertide::organisations {

// Sums the work that each organisation recently had admitted at this node.
// Clients of an organisation are spread over many nodes, so the shares at one
// node are about those of all. An organisation is within its share if its work
// per weight is at most somewhat above that of all active organisations
// together. While none is far beyond its share, there is nothing to move from
// one to another.
//
// Load pattern: one organisation sends many times its usual rate, and requests
// of all are refused since the queues are full of its requests.
//
// Not thread-safe.
class ShareTracker {
 public:
  // Records admitted work. Preconditions: `weight` > 0; `now` does not
  // decrease.
  void Record(std::string_view organisation, double weight, Duration work,
              MonotonicTime now);

  // Whether some organisation uses far more than its share and this one does
  // not.
  bool IsDisplaced(std::string_view organisation, double weight,
                   MonotonicTime now);

  // Number of organisations of which state is kept.
  std::size_t size() const { return uses_.size(); }

 private:
  struct Use {
    double weight = 1;
    // In microseconds; older work counts less.
    double work = 0;
  };

  // Ages all work, forgets organisations without recent work and recomputes the
  // sums, at intervals.
  void Refresh(MonotonicTime now);

  absl::flat_hash_map<std::string, Use> uses_;
  MonotonicTime refreshed_at_{};
  // Work per weight of all active organisations together.
  double mean_use_ = 0;
  bool has_excess_ = false;
};

}  // namespace oleandertide::organisations

#endif  // OLEANDERTIDE_ORGANISATIONS_SHARE_TRACKER_H_
