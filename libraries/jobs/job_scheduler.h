// Decides which due times of scheduled jobs this node claims and runs.

#ifndef OLEANDERTIDE_JOBS_JOB_SCHEDULER_H_
#define OLEANDERTIDE_JOBS_JOB_SCHEDULER_H_

#include <absl/container/btree_map.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/random.h"
#include "core/result.h"
#include "core/time.h"
#include "jobs/due_times.h"
#include "jobs/job.h"
#include "jobs/job_call.h"
#include "jobs/job_row.h"
#include "store/store.h"

namespace oleandertide::jobs {

// Time after a due time within which its call must be sent.
inline constexpr Duration kStartWindow = std::chrono::seconds(30);

struct JobSchedulerOptions {
  std::string environment;
  // Name of this node in the rows it writes.
  std::string holder;
  Duration start_window = kStartWindow;
  // Pause of a job after a store operation for it failed.
  Duration retry_interval = std::chrono::seconds(1);
};

struct SchedulerTime {
  WallTime wall;
  MonotonicTime monotonic;
};

// Effect: read both rows and pass the outcomes to HandleRows. The outcome must
// not be Unchanged.
struct ReadJobRows {
  std::string job;
  std::string job_row_key;
  std::string environment_row_key;
};

using JobEffect = std::variant<ReadJobRows, ClaimDueTime, SendCall>;
using JobEffects = std::vector<JobEffect>;

// True if this node is the holder of the due time in its own view. Several
// nodes may be at once; the claim decides.
using HolderCheck = std::function<bool(std::string_view job, WallTime due)>;

// What the node acts on at a tick.
struct SchedulerInput {
  // Whether the standing of the node allows jobs.
  bool is_allowed = false;
  std::span<const Job> jobs;
  std::uint64_t sequence = 0;
};

struct JobCounters {
  std::uint64_t claimed = 0;
  std::uint64_t calls = 0;
  // Claims of the latest missed due time (policy run-latest).
  std::uint64_t caught_up = 0;
  // Held due times that passed without a run.
  std::uint64_t missed = 0;
  // Due times before the job was known to be in force.
  std::uint64_t ignored_as_new = 0;
  // Another node had claimed the due time.
  std::uint64_t already_claimed = 0;
  std::uint64_t claims_refused = 0;
  // The environment's row holds another sequence than this node acts on.
  std::uint64_t sequence_differs = 0;
  std::uint64_t lost_answers = 0;
  std::uint64_t store_errors = 0;
  std::uint64_t damaged_rows = 0;
  // Claimed, but not sent: the start window passed.
  std::uint64_t start_window_passed = 0;
  // Claimed, but not sent: retired, or the standing allows no jobs any more.
  std::uint64_t withheld = 0;
  std::uint64_t invalid_jobs = 0;
};

// A due time runs at most once over all nodes: it is sent only by the node
// whose token is in the job's row, that row only moves to later due times, and
// each claim is sent at most once. Not thread-safe.
class JobScheduler {
 public:
  JobScheduler(JobSchedulerOptions options, RandomSource random);

  // Compares the due times with the clock. Call about once a second, and at
  // once when the snapshot or the standing changes.
  JobEffects Tick(SchedulerTime now, const SchedulerInput& input,
                  const HolderCheck& is_holder);

  // Passes the outcome of ReadJobRows.
  JobEffects HandleRows(std::string_view job,
                        const Result<store::ReadOutcome>& job_row,
                        const Result<store::ReadOutcome>& environment_row,
                        SchedulerTime now);

  // Passes the outcome of ClaimDueTime, with the token of its row.
  JobEffects HandleClaim(std::string_view job, std::uint64_t token,
                         const Result<store::TransactionOutcome>& outcome,
                         SchedulerTime now);

  const JobCounters& counters() const { return counters_; }

 private:
  enum class Phase { kIdle, kReading, kClaiming };

  // A claim whose answer was lost and that may take effect late.
  struct LostClaim {
    std::uint64_t token = 0;
    store::RowVersion job_version = store::kAbsent;
  };

  struct JobState {
    Job job;
    DueTimes due_times;
    // Due times up to this one belong to the time before the job was seen.
    WallTime seen;
    // The job was already in the first snapshot, so that it may be older than
    // `seen`; its row can tell.
    bool is_from_first_snapshot = false;
    // Latest due time that needs nothing more from this node.
    std::optional<WallTime> settled;
    // Held due time that is being worked on.
    std::optional<WallTime> pending;
    Phase phase = Phase::kIdle;
    std::uint64_t token = 0;
    std::uint64_t claim_sequence = 0;
    store::RowVersion job_version = store::kAbsent;
    MonotonicTime must_start_before;
    std::optional<LostClaim> lost_claim;
    MonotonicTime retry_at;
  };

  void UpdateJobs(SchedulerTime now, std::span<const Job> jobs);
  void Consider(JobState& state, SchedulerTime now,
                const HolderCheck& is_holder);
  void Settle(JobState& state, WallTime due);
  void Retry(JobState& state, SchedulerTime now);
  bool IsOnTime(WallTime due, WallTime now) const;
  // Gives up the pending due time if its time has passed.
  bool DropIfMissed(JobState& state, SchedulerTime now);
  bool IsEligible(const JobState& state,
                  const std::optional<JobRow>& row) const;
  void StartClaim(JobState& state, store::RowVersion job_version,
                  store::RowVersion environment_version, SchedulerTime now);
  void FinishClaim(JobState& state, std::uint64_t sequence, SchedulerTime now);
  void ReadRows(JobState& state);
  void HandleRow(JobState& state, const store::ReadOutcome& job_row,
                 store::RowVersion environment_version,
                 std::uint64_t environment_sequence, SchedulerTime now);
  JobState* Find(std::string_view job, Phase phase);

  JobSchedulerOptions options_;
  RandomSource random_;
  JobCounters counters_;
  bool is_allowed_ = false;
  bool has_snapshot_ = false;
  std::uint64_t sequence_ = 0;
  absl::btree_map<std::string, JobState> states_;
  JobEffects effects_;
};

}  // namespace oleandertide::jobs

#endif  // OLEANDERTIDE_JOBS_JOB_SCHEDULER_H_
