#include "jobs/job_scheduler.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace oleandertide::jobs {
namespace {

using store::RowVersion;

struct EnvironmentRow {
  RowVersion version = store::kAbsent;
  std::uint64_t sequence = 0;
};

Result<EnvironmentRow> ParseEnvironmentRow(const store::ReadOutcome& outcome) {
  const store::Row* row = std::get_if<store::Row>(&outcome);
  if (row == nullptr) return EnvironmentRow{};
  OLEANDERTIDE_TRY(sequence, DecodeEnvironmentSequence(row->value));
  return EnvironmentRow{row->version, sequence};
}

}  // namespace

JobScheduler::JobScheduler(JobSchedulerOptions options, RandomSource random)
    : options_(std::move(options)), random_(random) {}

JobEffects JobScheduler::Tick(SchedulerTime now, const SchedulerInput& input,
                              const HolderCheck& is_holder) {
  is_allowed_ = input.is_allowed;
  sequence_ = input.sequence;
  UpdateJobs(now, input.jobs);
  for (auto& [name, state] : states_) Consider(state, now, is_holder);
  return std::exchange(effects_, {});
}

void JobScheduler::UpdateJobs(SchedulerTime now, std::span<const Job> jobs) {
  absl::btree_map<std::string, JobState> previous = std::move(states_);
  states_.clear();
  for (const Job& job : jobs) {
    const Result<DueTimes> due_times = DueTimes::Create(job.every, job.offset);
    if (due_times.has_error()) {
      ++counters_.invalid_jobs;
      continue;
    }
    const auto found = previous.find(job.name);
    // A changed schedule has due times in the past that never were in force.
    if (found != previous.end() &&
        found->second.due_times == due_times.value()) {
      JobState& state = found->second;
      state.job = job;
      // After a step back of the clock the due times ahead are new ones.
      state.seen = std::min(state.seen, now.wall);
      states_.emplace(job.name, std::move(state));
      continue;
    }
    JobState state{.job = job,
                   .due_times = due_times.value(),
                   .seen = now.wall,
                   .is_from_first_snapshot = !has_snapshot_,
                   .settled = std::nullopt,
                   .pending = std::nullopt,
                   .must_start_before = {},
                   .lost_claim = std::nullopt,
                   .retry_at = {}};
    states_.emplace(job.name, std::move(state));
  }
  has_snapshot_ = has_snapshot_ || sequence_ != 0;
}

void JobScheduler::Consider(JobState& state, SchedulerTime now,
                            const HolderCheck& is_holder) {
  if (state.phase != Phase::kIdle) return;
  const WallTime due = state.due_times.LatestAt(now.wall);
  // The clock stepped back. What ran before is in the job's row.
  if (state.settled && *state.settled > due) state.settled.reset();
  if (state.settled == due) return;
  if (state.pending && *state.pending != due) {
    // Also counts due times that passed between two ticks.
    counters_.missed += state.due_times.CountBetween(*state.pending, due);
    Settle(state, *state.pending);
  }
  const bool is_late_skip =
      state.job.missed == MissedPolicy::kSkip && !IsOnTime(due, now.wall);
  // Only this node can tell whether its own lost claim took effect.
  if (!state.lost_claim && !is_holder(state.job.name, due)) {
    state.pending.reset();
    if (is_late_skip) Settle(state, due);
    return;
  }
  state.pending = due;
  if (due <= state.seen && !state.is_from_first_snapshot) {
    ++counters_.ignored_as_new;
    Settle(state, due);
    return;
  }
  if (DropIfMissed(state, now)) return;
  if (!is_allowed_ || now.monotonic < state.retry_at) return;
  ReadRows(state);
}

void JobScheduler::Settle(JobState& state, WallTime due) {
  state.settled = due;
  state.pending.reset();
  state.lost_claim.reset();
}

void JobScheduler::Retry(JobState& state, SchedulerTime now) {
  state.retry_at = now.monotonic + options_.retry_interval;
}

bool JobScheduler::IsOnTime(WallTime due, WallTime now) const {
  return now - due < options_.start_window;
}

bool JobScheduler::DropIfMissed(JobState& state, SchedulerTime now) {
  const bool is_superseded =
      state.due_times.LatestAt(now.wall) > *state.pending;
  const bool is_skipped = state.job.missed == MissedPolicy::kSkip &&
                          !IsOnTime(*state.pending, now.wall);
  if (!is_superseded && !is_skipped) return false;
  ++(*state.pending > state.seen ? counters_.missed : counters_.ignored_as_new);
  Settle(state, *state.pending);
  return true;
}

bool JobScheduler::IsEligible(const JobState& state,
                              const std::optional<JobRow>& row) const {
  if (*state.pending > state.seen) return true;
  // A claim under the present configuration shows that the job was in force
  // from then on, also if this process has only just started.
  return state.is_from_first_snapshot && row && row->sequence == sequence_ &&
         *state.pending > row->due;
}

void JobScheduler::ReadRows(JobState& state) {
  state.phase = Phase::kReading;
  effects_.emplace_back(ReadJobRows{
      state.job.name, JobRowKey(options_.environment, state.job.name),
      EnvironmentRowKey(options_.environment)});
}

JobEffects JobScheduler::HandleRows(
    std::string_view job, const Result<store::ReadOutcome>& job_row,
    const Result<store::ReadOutcome>& environment_row, SchedulerTime now) {
  JobState* state = Find(job, Phase::kReading);
  if (state == nullptr) return {};
  state->phase = Phase::kIdle;
  if (job_row.has_error() || environment_row.has_error()) {
    ++counters_.store_errors;
    Retry(*state, now);
    return {};
  }
  const Result<EnvironmentRow> environment =
      ParseEnvironmentRow(environment_row.value());
  if (environment.has_error()) {
    ++counters_.damaged_rows;
    Retry(*state, now);
    return {};
  }
  HandleRow(*state, job_row.value(), environment.value().version,
            environment.value().sequence, now);
  return std::exchange(effects_, {});
}

void JobScheduler::HandleRow(JobState& state, const store::ReadOutcome& job_row,
                             RowVersion environment_version,
                             std::uint64_t environment_sequence,
                             SchedulerTime now) {
  RowVersion version = store::kAbsent;
  std::optional<JobRow> row;
  if (const auto* found = std::get_if<store::Row>(&job_row)) {
    version = found->version;
    const Result<JobRow> decoded = DecodeJobRow(found->value);
    if (decoded.has_error()) {
      // Whether the due time ran cannot be told.
      ++counters_.damaged_rows;
      Settle(state, *state.pending);
      return;
    }
    row = decoded.value();
  }
  if (state.lost_claim && row && row->token == state.lost_claim->token) {
    FinishClaim(state, row->sequence, now);
    return;
  }
  // A lost claim is conditional on the version; it is void once the row moved.
  if (state.lost_claim && state.lost_claim->job_version != version) {
    state.lost_claim.reset();
  }
  if (row && row->due >= *state.pending) {
    ++counters_.already_claimed;
    Settle(state, *state.pending);
    return;
  }
  if (!IsEligible(state, row)) {
    ++counters_.ignored_as_new;
    Settle(state, *state.pending);
    return;
  }
  if (DropIfMissed(state, now) || !is_allowed_) return;
  if (environment_sequence != sequence_) {
    ++counters_.sequence_differs;
    Retry(state, now);
    return;
  }
  StartClaim(state, version, environment_version, now);
}

void JobScheduler::StartClaim(JobState& state, RowVersion job_version,
                              RowVersion environment_version,
                              SchedulerTime now) {
  state.phase = Phase::kClaiming;
  // The same token for a repeated claim: whichever write takes effect is ours.
  state.token = state.lost_claim ? state.lost_claim->token : random_.Next();
  state.claim_sequence = sequence_;
  state.job_version = job_version;
  const Duration late = now.wall - *state.pending;
  const bool is_on_time = late < options_.start_window;
  state.must_start_before =
      now.monotonic + options_.start_window - (is_on_time ? late : Duration(0));
  if (!is_on_time) ++counters_.caught_up;
  effects_.emplace_back(ClaimDueTime{
      .job = state.job.name,
      .job_version = job_version,
      .environment_version = environment_version,
      .row = {*state.pending, options_.holder, state.token, sequence_}});
}

JobEffects JobScheduler::HandleClaim(
    std::string_view job, std::uint64_t token,
    const Result<store::TransactionOutcome>& outcome, SchedulerTime now) {
  JobState* state = Find(job, Phase::kClaiming);
  if (state == nullptr || state->token != token) {
    // The job was retired or changed meanwhile.
    const bool is_committed =
        outcome.has_value() &&
        std::holds_alternative<store::Committed>(outcome.value());
    if (is_committed) ++counters_.withheld;
    return {};
  }
  state->phase = Phase::kIdle;
  if (outcome.has_value()) {
    if (std::holds_alternative<store::Committed>(outcome.value())) {
      FinishClaim(*state, state->claim_sequence, now);
    } else {
      ++counters_.claims_refused;
      ReadRows(*state);
    }
  } else if (outcome.error() == Error::kUnavailable ||
             outcome.error() == Error::kRateLimited) {
    ++counters_.store_errors;
    Retry(*state, now);
  } else {
    ++counters_.lost_answers;
    state->lost_claim = LostClaim{token, state->job_version};
    ReadRows(*state);
  }
  return std::exchange(effects_, {});
}

// The due time is this node's; sends the call if it still may.
void JobScheduler::FinishClaim(JobState& state, std::uint64_t sequence,
                               SchedulerTime now) {
  ++counters_.claimed;
  const WallTime due = *state.pending;
  Settle(state, due);
  if (now.monotonic >= state.must_start_before) {
    ++counters_.start_window_passed;
    return;
  }
  if (!is_allowed_) {
    ++counters_.withheld;
    return;
  }
  ++counters_.calls;
  effects_.emplace_back(
      SendCall{.job = state.job.name,
               .route = state.job.route,
               .due = due,
               .idempotency_key = JobIdempotencyKey(state.job.name, due),
               .sequence = sequence,
               .must_start_before = state.must_start_before});
}

JobScheduler::JobState* JobScheduler::Find(std::string_view job, Phase phase) {
  const auto found = states_.find(std::string(job));
  if (found == states_.end() || found->second.phase != phase) return nullptr;
  return &found->second;
}

}  // namespace oleandertide::jobs
