// The call that runs a job, and the receiver's check of it.

#ifndef OLEANDERTIDE_JOBS_JOB_CALL_H_
#define OLEANDERTIDE_JOBS_JOB_CALL_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "core/time.h"
#include "jobs/job.h"

namespace oleandertide::jobs {

// Effect: send the call once, if IsStartAllowed still holds when the process
// gets to it.
struct SendCall {
  std::string job;
  std::string route;
  WallTime due;
  // `job/{job}/{due time in seconds}`.
  std::string idempotency_key;
  // Sequence under which the due time was claimed; travels with the call.
  std::uint64_t sequence = 0;
  // The call must not be sent at this time or later.
  MonotonicTime must_start_before;
};

std::string JobIdempotencyKey(std::string_view job, WallTime due);

// The last check before the call leaves the process, which may have been paused
// since the effect was returned.
inline bool IsStartAllowed(const SendCall& call, MonotonicTime now) {
  return now < call.must_start_before;
}

enum class RunDecision {
  kAllowed,
  // Reason `route-retired`: the receiver's configuration has no such job.
  kRetired,
  // Reason `configuration-behind`: the receiver cannot tell whether its
  // configuration still has the job.
  kConfigurationBehind,
};

// Decides at the receiver, before hand-over, whether a job's call may run.
// `sequence` is that of the call; the others are the receiver's.
RunDecision IsRunAllowed(std::string_view job, std::uint64_t sequence,
                         std::span<const Job> receiver_jobs,
                         std::uint64_t receiver_sequence);

}  // namespace oleandertide::jobs

#endif  // OLEANDERTIDE_JOBS_JOB_CALL_H_
