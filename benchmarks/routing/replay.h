// Replay of a trace through the decision code on a virtual clock.

#ifndef OLEANDERTIDE_BENCHMARKS_ROUTING_REPLAY_H_
#define OLEANDERTIDE_BENCHMARKS_ROUTING_REPLAY_H_

#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "routing/trace.h"

namespace oleandertide::routing {

enum class ChoiceKind { kBetterOfTwo, kRandom, kRoundRobin };

// Each mechanism can be switched off to show what it prevents.
struct ReplayOptions {
  ChoiceKind choice = ChoiceKind::kBetterOfTwo;
  bool has_retry_budget = true;
  // Off: the backend server queues everything without limit and runs requests
  // whose callers have given up.
  bool has_admission = true;
  bool has_quarantine = true;
  // Off: a planned stop ends the process at once.
  bool has_drain = true;
};

struct ReplayResult {
  // Figures by name:
  //   arrivals              requests of callers, without repeats by callers
  //   complete              answered within the deadline
  //   complete-share        complete / arrivals
  //   CLASS-complete-share  the same for one class
  //   late-complete-share   the same for arrivals in the last third
  //   outcome-OUTCOME, reason-REASON  final answers to callers
  //   attempts-per-request  attempts of the nodes per request they sent
  //   false-not-run         answered as not run although a part of it ran
  //   repeated-runs         runs beyond the first on routes not repeatable
  //   started-late          starts after the deadline
  //   unanswered            requests that were never answered
  //   cut                   requests in flight interrupted by a planned stop
  //   deaths                backend servers killed by requests
  //   p50-ms, p99-ms        latency of complete requests, at the caller
  //   RUNS:NAME             requests that the backend server NAME started
  std::map<std::string, double> figures;
  // Complete requests by the second of their completion.
  std::vector<int> complete_per_second;

  // Returns the figure, or 0 if it is absent.
  double figure(const std::string& name) const {
    const auto found = figures.find(name);
    return found == figures.end() ? 0 : found->second;
  }
};

// Replays the whole trace; equal for equal arguments.
ReplayResult Replay(const Trace& trace, const ReplayOptions& options);

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_BENCHMARKS_ROUTING_REPLAY_H_
