// Which requests a stopping node takes, and until when it answers them.

#ifndef OLEANDERTIDE_MESH_STOP_POLICY_H_
#define OLEANDERTIDE_MESH_STOP_POLICY_H_

#include <optional>

#include "core/time.h"

namespace oleandertide::mesh {

// A stopping node still gets requests: clients learn of the stop from readiness
// checks, and some stay until the process is gone. A request that is cut by the
// end is lost, while one that is refused has not run and can be sent elsewhere.
//
// Load pattern: nodes stop one after the other under load, with run times up to
// the whole time that a node has for its stop.
//
// Thread-safe.
class StopPolicy {
 public:
  struct Options {
    // Time for which requests are taken that may outlast the node.
    Duration announce_time{};
    // Time after which the node ends.
    Duration deadline{};
  };

  StopPolicy(MonotonicTime begin, const Options& options)
      : announced_at_(begin + options.announce_time),
        end_(begin + options.deadline) {}

  // Latest deadline of a client's request, also of one that was taken before
  // the stop.
  MonotonicTime last_deadline() const;

  // Returns the deadline of a client's request that arrived at `arrived`, is
  // handled at `now` and may take `limit` from its arrival, or
  // nothing if it is to be refused. A request that is sure to be answered
  // before the end is always taken. Another one is taken only during the
  // announce time, and if its target latency fits.
  std::optional<MonotonicTime> ChooseDeadline(MonotonicTime arrived,
                                              MonotonicTime now, Duration limit,
                                              Duration target_latency) const;

  // Whether a request with this deadline may begin to run at the backend server
  // beside the node.
  bool MayRun(MonotonicTime deadline) const;

 private:
  MonotonicTime announced_at_;
  MonotonicTime end_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_STOP_POLICY_H_
