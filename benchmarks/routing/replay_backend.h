// Model of a backend server with the receiver beside it, for replay.

#ifndef OLEANDERTIDE_BENCHMARKS_ROUTING_REPLAY_BACKEND_H_
#define OLEANDERTIDE_BENCHMARKS_ROUTING_REPLAY_BACKEND_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "routing/admission.h"
#include "routing/drain.h"
#include "routing/event_queue.h"
#include "routing/quarantine.h"
#include "routing/retry_policy.h"

namespace oleandertide::routing {

// One attempt as the receiver sees it.
struct ReplayAttempt {
  RequestId id = 0;
  Fingerprint fingerprint = 0;
  RequestClass request_class = RequestClass::kLookup;
  MonotonicTime deadline;
  bool is_crashing = false;
  bool is_handed_over = false;
  // Called when the backend server starts it.
  std::function<void()> on_start;
  // Called once with the answer.
  std::function<void(const AttemptResult&)> on_end;
};

struct ReplayBackendOptions {
  std::string name;
  int slots = 1;
  int connections = 1;
  Duration service_time{0};
  double cold_factor = 1;
  bool has_admission = true;
};

// Slots with a service time that varies by half around its mean, is longer
// while cold, and may be made slow. Not thread-safe.
class ReplayBackend {
 public:
  ReplayBackend(const ReplayBackendOptions& options, EventQueue& events,
                RandomSource& random);

  // Takes an attempt that arrived at the receiver.
  void Offer(std::shared_ptr<ReplayAttempt> attempt);

  // Ends the backend server; returns the fingerprints that were running.
  std::vector<Fingerprint> Kill();

  // Starts it again, cold.
  void Restart();

  // Receives SIGTERM: announces, finishes and stops.
  void StartDrain();

  void set_slow_factor(double factor) { slow_factor_ = factor; }
  void set_warm() { up_since_ = events_.now() - std::chrono::hours(1); }
  // Called when a crashing request kills the backend server.
  void set_on_crash(std::function<void()> action) {
    on_crash_ = std::move(action);
  }
  // Returns requests for which the node beside it is the ingress; a drain
  // waits for them too.
  void set_ingress_in_flight(std::function<int()> count) {
    ingress_in_flight_ = std::move(count);
  }
  // Called when a drain has ended, with the number of requests it cut.
  void set_on_stopped(std::function<void(int)> action) {
    on_stopped_ = std::move(action);
  }
  // Advances a drain; called when a request of the ingress has ended.
  void CheckDrain();

  const std::string& name() const { return options_.name; }
  bool is_up() const { return is_up_; }
  bool is_accepting() const { return is_up_ && drain_.is_accepting(); }
  bool is_draining() const { return drain_.is_draining(); }
  MonotonicTime up_since() const { return up_since_; }
  std::uint64_t life() const { return life_; }
  std::int64_t runs() const { return runs_; }
  std::int64_t started_late() const { return started_late_; }

 private:
  using Attempts =
      absl::flat_hash_map<RequestId, std::shared_ptr<ReplayAttempt>>;

  void Apply(const AdmissionDecisions& decisions);
  void Run(const std::shared_ptr<ReplayAttempt>& attempt);
  void RunNextInLine();
  void Finish(std::uint64_t life, RequestId id);
  void OnDeadline(std::uint64_t life, RequestId id);
  void End(RequestId id, const AttemptResult& result);
  Duration ServiceTime();
  Admission MakeAdmission() const;

  ReplayBackendOptions options_;
  EventQueue& events_;
  RandomSource& random_;
  Admission admission_;
  Drain drain_;
  Attempts attempts_;
  // Used without admission only.
  std::deque<RequestId> line_;
  int busy_ = 0;

  bool is_up_ = true;
  MonotonicTime up_since_;
  std::uint64_t life_ = 1;
  double slow_factor_ = 1;
  std::int64_t runs_ = 0;
  std::int64_t started_late_ = 0;
  std::function<void()> on_crash_ = [] {};
  std::function<int()> ingress_in_flight_ = [] { return 0; };
  std::function<void(int)> on_stopped_ = [](int /*cut*/) {};
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_BENCHMARKS_ROUTING_REPLAY_BACKEND_H_
