// Which requests a stopping node takes, and until when it answers them.

#ifndef OLEANDERTIDE_MESH_STOP_POLICY_H_
#define OLEANDERTIDE_MESH_STOP_POLICY_H_

#include <algorithm>
#include <chrono>
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

    // Returns the times for a node that is killed after `grace`. The last
    // deadline of clients' requests is within the last sixth of it.
    // Precondition: `grace` is not negative. Thread-safe.
    static Options ForGrace(Duration grace);
  };

  // Least grace in which a request in progress has time to end and its answer
  // to leave the node.
  static constexpr Duration kMinGrace = std::chrono::milliseconds(500);

  StopPolicy(MonotonicTime begin, const Options& options)
      : announced_at_(begin + options.announce_time),
        end_(begin + options.deadline),
        margin_unit_(std::min(options.deadline, kFullMarginDeadline) /
                     kMarginUnits) {}

  // Latest deadline of a client's request, also of one that was taken before
  // the stop.
  MonotonicTime last_deadline() const;

  // Time by which each of these requests is answered.
  MonotonicTime last_answer() const;

  // How long a node that has nothing more to answer, or has come to its end,
  // waits for others to close their connections.
  Duration close_limit() const;

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
  // Margins are whole multiples of this part of the deadline, so that they fit
  // into a short one; they grow no more beyond the full deadline.
  static constexpr Duration kFullMarginDeadline =
      std::chrono::milliseconds(5500);
  static constexpr int kMarginUnits = 550;

  MonotonicTime announced_at_;
  MonotonicTime end_;
  Duration margin_unit_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_STOP_POLICY_H_
