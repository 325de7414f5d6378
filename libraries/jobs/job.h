// A scheduled job as the scheduler needs it.

#ifndef OLEANDERTIDE_JOBS_JOB_H_
#define OLEANDERTIDE_JOBS_JOB_H_

#include <chrono>
#include <string>

namespace oleandertide::jobs {

// What happens to due times that passed while the job could not be run.
enum class MissedPolicy {
  kSkip,
  // The latest missed due time is run once.
  kRunLatest,
};

struct Job {
  std::string name;
  // Route that the call uses.
  std::string route;
  std::chrono::seconds every{0};
  // Due times are at `offset` after multiples of `every` since the epoch.
  std::chrono::seconds offset{0};
  MissedPolicy missed = MissedPolicy::kSkip;
};

}  // namespace oleandertide::jobs

#endif  // OLEANDERTIDE_JOBS_JOB_H_
