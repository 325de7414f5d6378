// Speed of the local backend server, estimated from its run times.

#ifndef OLEANDERTIDE_MESH_PACE_H_
#define OLEANDERTIDE_MESH_PACE_H_

#include <cstdint>
#include <unordered_map>

#include "core/time.h"

namespace oleandertide::mesh {

// Estimates how much longer requests run at this backend server than at the
// others of its service (the slowness). The estimate is the time spent on
// requests divided by the number of completions, in expected run times. Times
// of requests that still run count too: a backend server that has become 5
// times slower completes nothing for a while, and its completions alone would
// show the change only when a slot's worth of requests is late.
//
// A window of 24 completions gives a steady estimate, one of 6 follows changes.
// The short window is used if the two differ by more than a factor of 2, which
// random run times seldom cause. While no request runs, the estimate moves
// towards the assumed one, so that an idle backend server is tried again.
//
// Expected load: backend servers that are cold after a start, slow for some
// seconds, or flap, also all of a service at once.
//
// Not thread-safe.
class Pace {
 public:
  using Ticket = std::uint64_t;

  // Sets the slowness that is assumed without evidence, e.g. 2 while the
  // backend server announces that it is cold. Precondition: slowness > 0.
  void set_assumed_slowness(double slowness) { assumed_ = slowness; }

  // Records that a request was handed over. `expected_run` is the mean run time
  // of its route; requests for which it is zero are ignored. Precondition: the
  // ticket is not in use.
  void RecordStart(MonotonicTime now, Ticket ticket, Duration expected_run);

  // Records the end of a run. `is_sample` says whether the run time tells the
  // speed: that of a run that failed or was cut off does not.
  void RecordEnd(MonotonicTime now, Ticket ticket, bool is_sample);

  // Forgets the evidence after another backend server has replaced this one.
  // Requests that are running are no longer counted.
  void Reset();

  // Moves the estimate towards the assumed one while no request runs.
  // `elapsed` is the time since the last call.
  void Relax(Duration elapsed);

  // Returns the ratio of run times to expected ones.
  double slowness(MonotonicTime now) const;

 private:
  // Time spent on requests and completions, both with decaying weight.
  struct Evidence {
    double exposure = 0;
    double completions = 0;

    void Add(double run, double window);
    // Returns the estimate with `running`, the time spent on requests that
    // still run, and the assumed slowness with a weight of `prior_weight`
    // completions.
    double Estimate(double running, double assumed, double prior_weight) const;
  };
  struct Run {
    MonotonicTime started;
    double expected_us;
  };

  // Time spent so far on the requests that run, in expected run times.
  double RunningExposure(MonotonicTime now) const;
  double EstimateSteady(double running) const;
  double EstimateRecent(double running) const;

  double assumed_ = 1;
  Evidence steady_;
  Evidence recent_;
  std::unordered_map<Ticket, Run> runs_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_PACE_H_
