#include "jobs/job_call.h"

#include <algorithm>

namespace oleandertide::jobs {

std::string JobIdempotencyKey(std::string_view job, WallTime due) {
  std::string key = "job/";
  key.append(job).append("/").append(
      std::to_string(due.time_since_epoch().count()));
  return key;
}

RunDecision IsRunAllowed(std::string_view job, std::uint64_t sequence,
                         std::span<const Job> receiver_jobs,
                         std::uint64_t receiver_sequence) {
  if (receiver_sequence < sequence) return RunDecision::kConfigurationBehind;
  const bool has_job =
      std::any_of(receiver_jobs.begin(), receiver_jobs.end(),
                  [job](const Job& known) { return known.name == job; });
  return has_job ? RunDecision::kAllowed : RunDecision::kRetired;
}

}  // namespace oleandertide::jobs
