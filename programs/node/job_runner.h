// Runs the scheduled jobs that this node holds.

#ifndef OLEANDERTIDE_NODE_JOB_RUNNER_H_
#define OLEANDERTIDE_NODE_JOB_RUNNER_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "calls/ingress.h"
#include "calls/published_standing.h"
#include "config/snapshot_holder.h"
#include "core/worker_pool.h"
#include "jobs/job_scheduler.h"
#include "membership/member_view.h"
#include "store/store.h"

namespace oleandertide::node {

// Owns the scheduler and the thread that runs it. Thread-safe; all references
// must outlive it.
class JobRunner {
 public:
  struct Parts {
    store::Store& store;
    const config::SnapshotHolder& snapshots;
    const calls::PublishedStanding& standing;
    calls::Ingress& ingress;
    // The present members.
    std::function<std::shared_ptr<const membership::MemberView>()> members;
  };

  JobRunner(Parts parts, const jobs::JobSchedulerOptions& options,
            std::uint64_t seed);

  // Calls Stop.
  ~JobRunner();

  JobRunner(const JobRunner&) = delete;
  JobRunner& operator=(const JobRunner&) = delete;

  // Ends the thread after the calls in progress. Idempotent.
  void Stop();

  jobs::JobCounters counters() const;

 private:
  void Run();
  void Tick();
  void UpdateJobs();
  void Apply(const jobs::JobEffects& effects);
  void Perform(const jobs::ReadJobRows& effect);
  void Perform(const jobs::ClaimDueTime& effect);
  void Perform(const jobs::SendCall& effect);

  const Parts parts_;
  const std::string environment_;
  const std::string holder_;
  mutable std::mutex mutex_;  // Guards the scheduler.
  jobs::JobScheduler scheduler_;
  std::vector<jobs::Job> jobs_;
  std::uint64_t jobs_sequence_ = 0;
  std::mutex stop_mutex_;
  std::condition_variable stop_changed_;
  bool is_stopping_ = false;
  WorkerPool workers_;
  std::thread thread_;
};

}  // namespace oleandertide::node

#endif  // OLEANDERTIDE_NODE_JOB_RUNNER_H_
