#include "node/job_runner.h"

#include <utility>
#include <variant>

#include "logging/log.h"

namespace oleandertide::node {
namespace {

constexpr std::string_view kComponent = "jobs";
constexpr Duration kTickInterval = std::chrono::milliseconds(500);
constexpr std::size_t kWorkers = 4;
constexpr std::size_t kMaximumQueuedWork = 1000;

jobs::SchedulerTime Now() {
  return {std::chrono::time_point_cast<std::chrono::seconds>(
              std::chrono::system_clock::now()),
          MonotonicClock::now()};
}

jobs::Job ToJob(const config::Job& job) {
  return {job.name, job.route,
          std::chrono::duration_cast<std::chrono::seconds>(job.every),
          std::chrono::duration_cast<std::chrono::seconds>(job.offset),
          job.missed == config::Missed::kSkip ? jobs::MissedPolicy::kSkip
                                              : jobs::MissedPolicy::kRunLatest};
}

bool IsReady(const membership::Member& member) {
  return member.state == membership::MemberState::kReady;
}

}  // namespace

JobRunner::JobRunner(Parts parts, const jobs::JobSchedulerOptions& options,
                     std::uint64_t seed)
    : parts_(std::move(parts)),
      environment_(options.environment),
      holder_(options.holder),
      scheduler_(options, RandomSource(seed)),
      workers_(kWorkers, kMaximumQueuedWork),
      thread_([this] { Run(); }) {}

JobRunner::~JobRunner() { Stop(); }

void JobRunner::Stop() {
  {
    std::lock_guard lock(stop_mutex_);
    is_stopping_ = true;
  }
  stop_changed_.notify_all();
  if (thread_.joinable()) thread_.join();
  workers_.Stop();
}

jobs::JobCounters JobRunner::counters() const {
  std::lock_guard lock(mutex_);
  return scheduler_.counters();
}

void JobRunner::Run() {
  std::unique_lock lock(stop_mutex_);
  while (!stop_changed_.wait_for(lock, kTickInterval,
                                 [this] { return is_stopping_; })) {
    lock.unlock();
    Tick();
    lock.lock();
  }
}

void JobRunner::Tick() {
  UpdateJobs();
  const auto members = parts_.members();
  const auto is_holder = [&](std::string_view job, WallTime due) {
    const auto best = members->RankByRendezvous(
        jobs::JobIdempotencyKey(job, due), IsReady, 1);
    return !best.empty() && best.front()->address == holder_;
  };
  jobs::SchedulerInput input;
  input.is_allowed = parts_.standing.At(MonotonicClock::now()) ==
                     distribution::Standing::kConfirmed;
  input.jobs = jobs_;
  input.sequence = jobs_sequence_;
  jobs::JobEffects effects;
  {
    std::lock_guard lock(mutex_);
    effects = scheduler_.Tick(Now(), input, is_holder);
  }
  Apply(effects);
}

void JobRunner::UpdateJobs() {
  if (parts_.snapshots.sequence() == jobs_sequence_) return;
  const config::SnapshotReader reader(parts_.snapshots);
  const config::Snapshot* snapshot = reader.snapshot();
  if (snapshot == nullptr) return;
  jobs_.clear();
  for (const config::Job& job : snapshot->jobs()) jobs_.push_back(ToJob(job));
  jobs_sequence_ = snapshot->sequence();
}

void JobRunner::Apply(const jobs::JobEffects& effects) {
  for (const auto& effect : effects) {
    workers_.Submit([this, effect] {
      std::visit([this](const auto& item) { Perform(item); }, effect);
    });
  }
}

void JobRunner::Perform(const jobs::ReadJobRows& effect) {
  const auto job_row = parts_.store.ReadRow(effect.job_row_key, std::nullopt);
  const auto environment_row =
      parts_.store.ReadRow(effect.environment_row_key, std::nullopt);
  jobs::JobEffects effects;
  {
    std::lock_guard lock(mutex_);
    effects =
        scheduler_.HandleRows(effect.job, job_row, environment_row, Now());
  }
  Apply(effects);
}

void JobRunner::Perform(const jobs::ClaimDueTime& effect) {
  const auto claim = jobs::BuildClaim(environment_, effect);
  const auto outcome = parts_.store.Transact(claim.conditions, claim.writes);
  jobs::JobEffects effects;
  {
    std::lock_guard lock(mutex_);
    effects =
        scheduler_.HandleClaim(effect.job, effect.row.token, outcome, Now());
  }
  Apply(effects);
}

void JobRunner::Perform(const jobs::SendCall& effect) {
  if (!jobs::IsStartAllowed(effect, MonotonicClock::now())) return;
  const calls::CallResult result =
      parts_.ingress.HandleJob(effect.job, effect.route, effect.idempotency_key,
                               effect.must_start_before);
  if (const auto* refusal = std::get_if<calls::Refusal>(&result)) {
    logging::Log(logging::Level::kWarning, kComponent, "job refused",
                 {{"job", effect.job},
                  {"key", effect.idempotency_key},
                  {"outcome", routing::OutcomeName(refusal->outcome)},
                  {"reason", routing::ReasonName(refusal->reason)}});
    return;
  }
  logging::Log(logging::Level::kInfo, kComponent, "job ran",
               {{"job", effect.job},
                {"key", effect.idempotency_key},
                {"status", std::get<calls::Answer>(result).status}});
}

}  // namespace oleandertide::node
