#include "claim_simulation.h"

#include <algorithm>
#include <utility>

namespace oleandertide::idempotency {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kFingerprint = 7;
// The receiver of this key always refuses before hand-over.
constexpr std::size_t kNeverRunKey = 0;

store::TransactionOutcome PretendCommitted(const CommitClaims& commit) {
  store::Committed committed;
  for (const store::Condition& condition : commit.conditions) {
    committed.versions[condition.key] = condition.version + 1;
  }
  return committed;
}

}  // namespace

ClaimSimulation::ClaimSimulation(std::uint64_t seed,
                                 ClaimSimulationOptions options)
    : options_(options), random_(seed) {
  table_.set_checks_conditions(options.checks_conditions);
  for (std::size_t slot = 0; slot < kWriters; ++slot) RestartWriter(slot);
}

std::string ClaimSimulation::Run() {
  for (std::size_t key = 0; key < kKeys; ++key) {
    for (int caller = 0; caller < 3; ++caller) {
      events_.After(Delay(0, 2000), [this, key] {
        StartAttempt(key, random_.Next(), /*repeats_left=*/4);
      });
    }
  }
  for (int outage = 0; outage < 3; ++outage) {
    events_.After(Delay(0, 4000), [this] { is_down_ = true; });
    events_.After(Delay(0, 4500), [this] { is_down_ = false; });
  }
  if (options_.has_process_faults) {
    for (std::size_t slot = 0; slot < kWriters; ++slot) {
      events_.After(Delay(0, 5000), [this, slot] { RestartWriter(slot); });
    }
    events_.After(Delay(0, 5000), [this] { RestartEverything(); });
  }
  events_.RunUntil(events_.now() + milliseconds(5000));
  is_faulty_ = false;
  is_down_ = false;
  events_.RunUntil(events_.now() + milliseconds(40'000));
  CheckAtEnd();
  return violation_;
}

Duration ClaimSimulation::Delay(int low_milliseconds, int high_milliseconds) {
  return random_.Between(milliseconds(low_milliseconds),
                         milliseconds(high_milliseconds));
}

void ClaimSimulation::RestartWriter(std::size_t slot) {
  ClaimWriterOptions options;
  options.environment = "trial";
  options.maximum_cached_rows = 2;
  writers_[slot] = {std::make_unique<ClaimWriter>(options),
                    writers_[slot].incarnation + 1};
}

// Transactions in flight still take effect.
void ClaimSimulation::RestartEverything() {
  ++epoch_;
  for (std::size_t slot = 0; slot < kWriters; ++slot) RestartWriter(slot);
}

void ClaimSimulation::HandleEffects(std::size_t slot,
                                    const ClaimWriterEffects& effects) {
  for (const ClaimWriterEffect& effect : effects) {
    if (const auto* commit = std::get_if<CommitClaims>(&effect)) {
      Commit(slot, *commit);
    } else if (const auto* read = std::get_if<ReadClaimRow>(&effect)) {
      Read(slot, *read);
    } else {
      const auto& answer = std::get<AnswerClaim>(effect);
      const auto probe = probes_.find({slot, answer.claim});
      if (probe != probes_.end()) {
        *probe->second = answer.result;
        continue;
      }
      const auto found = waiting_.find({slot, answer.claim});
      if (found == waiting_.end()) {
        ReportViolation("a claim was answered twice");
        return;
      }
      const AttemptPtr attempt = found->second;
      waiting_.erase(found);
      if (ProcessFault(5)) continue;
      events_.After(Delay(0, ProcessFault(10) ? 100 : 2),
                    [this, attempt, result = answer.result] {
                      HandleAnswer(attempt, result);
                    });
    }
  }
  ScheduleWake(slot);
}

void ClaimSimulation::ScheduleWake(std::size_t slot) {
  const auto wake = writers_[slot].writer->next_wake_time();
  if (!wake) return;
  const Duration delay = std::max(*wake - events_.now(), Duration(1));
  events_.After(delay, [this, slot, incarnation = writers_[slot].incarnation] {
    if (writers_[slot].incarnation != incarnation) return;
    // Every input schedules a wake; only a wake that is due schedules another.
    const auto due = writers_[slot].writer->next_wake_time();
    if (!due || *due > events_.now()) return;
    HandleEffects(slot, writers_[slot].writer->Advance(now()));
  });
}

void ClaimSimulation::Commit(std::size_t slot, const CommitClaims& commit) {
  const std::uint64_t incarnation = writers_[slot].incarnation;
  const auto answer = [this, slot, incarnation,
                       commit](Result<store::TransactionOutcome> outcome) {
    if (outcome.has_error() && outcome.error() == Error::kOutcomeUnknown) {
      if (options_.lost_answers == LostAnswerReport::kNotWritten) {
        outcome = Error::kUnavailable;
      } else if (options_.lost_answers == LostAnswerReport::kCommitted) {
        outcome = PretendCommitted(commit);
      }
    }
    events_.After(Delay(0, 3), [this, slot, incarnation, commit, outcome] {
      if (writers_[slot].incarnation != incarnation) return;
      HandleEffects(slot, writers_[slot].writer->HandleTransaction(
                              commit.operation, outcome, now()));
    });
  };
  const std::uint64_t fault_roll = is_faulty_ ? random_.Below(100) : 100;
  const bool is_late = fault_roll < 10;
  const bool is_never_applied = fault_roll >= 10 && fault_roll < 15;
  if (is_late || is_never_applied) answer(Error::kOutcomeUnknown);
  if (is_never_applied) return;
  events_.After(is_late ? Delay(0, 1500) : Delay(0, 4), [this, commit, answer,
                                                         fault_roll, is_late] {
    if (is_down_ && !is_late) return answer(Error::kUnavailable);
    if (fault_roll >= 15 && fault_roll < 20) {
      return answer(Error::kRateLimited);
    }
    const auto outcome = table_.Transact(commit.conditions, commit.writes);
    if (is_late) return;
    const bool is_lost = fault_roll >= 20 && fault_roll < 30;
    answer(is_lost ? Error::kOutcomeUnknown : outcome);
  });
}

void ClaimSimulation::Read(std::size_t slot, const ReadClaimRow& read) {
  const std::uint64_t incarnation = writers_[slot].incarnation;
  events_.After(Delay(0, 3), [this, slot, incarnation, read] {
    Result<store::ReadOutcome> outcome = table_.ReadRow(read.key, std::nullopt);
    if (is_down_) outcome = Error::kUnavailable;
    if (Fault(3)) outcome = Error::kTimeout;
    if (Fault(3)) outcome = Error::kRateLimited;
    events_.After(Delay(0, 3), [this, slot, incarnation, read, outcome] {
      if (writers_[slot].incarnation != incarnation) return;
      HandleEffects(slot, writers_[slot].writer->HandleRead(read.operation,
                                                            outcome, now()));
    });
  });
}

void ClaimSimulation::StartAttempt(std::size_t key, std::uint64_t token,
                                   int repeats_left) {
  const auto attempt = std::make_shared<Attempt>(
      Attempt{.key = key,
              .token = token,
              .claimant = options_.separates_attempts ? random_.Next() : token,
              .slot = random_.Below(kWriters),
              .repeats_left = repeats_left,
              .epoch = epoch_});
  const MonotonicTime deadline = events_.now() + Delay(10, 60);
  if (!ProcessFault(5)) {
    events_.After(Delay(0, 3), [this, attempt, deadline] {
      const ClaimId id = ++last_claim_;
      waiting_.emplace(std::pair(attempt->slot, id), attempt);
      HandleEffects(attempt->slot, writers_[attempt->slot].writer->AddClaim(
                                       id,
                                       {KeyName(attempt->key), kFingerprint,
                                        attempt->token, attempt->claimant},
                                       deadline, now()));
    });
  }
  // The receiver times out and will never hand the request over.
  events_.After(deadline + milliseconds(10) - events_.now(), [this, attempt] {
    if (std::exchange(attempt->is_ended, true)) return;
    SendRelease(*attempt);
    RetryLater(*attempt);
  });
}

void ClaimSimulation::HandleAnswer(const AttemptPtr& attempt,
                                   const ClaimResult& result) {
  if (const auto* answered = std::get_if<Answered>(&result)) {
    CheckAnswer(attempt->key, *answered);
  }
  const bool is_granted = std::holds_alternative<Granted>(result);
  if (std::exchange(attempt->is_ended, true) || attempt->epoch != epoch_) {
    // The receiver no longer waits for this answer.
    if (is_granted && attempt->epoch == epoch_) SendRelease(*attempt);
    return;
  }
  if (std::holds_alternative<KeyReused>(result)) ReportViolation("key reused");
  if (std::holds_alternative<StoreUnavailable>(result)) {
    return Chance(50) ? RetryLater(*attempt) : RepeatLater(*attempt);
  }
  if (!is_granted) return RepeatLater(*attempt);
  if (attempt->key == kNeverRunKey || Chance(30)) {
    SendRelease(*attempt);
    return Chance(70) ? RetryLater(*attempt) : RepeatLater(*attempt);
  }
  events_.After(Delay(0, Chance(20) ? 300 : 5),
                [this, attempt] { HandOver(attempt); });
}

void ClaimSimulation::HandOver(const AttemptPtr& attempt) {
  if (attempt->epoch != epoch_) return;
  KeyHistory& history = keys_[attempt->key];
  if (++history.runs > 1) ReportViolation("a key ran twice");
  history.token_of_run = attempt->token;
  RepeatLater(*attempt);
  if (ProcessFault(20)) return;
  events_.After(Delay(0, 200), [this, attempt] {
    if (attempt->epoch != epoch_) return;
    const std::size_t slot =
        Chance(80) ? attempt->slot : random_.Below(kWriters);
    keys_[attempt->key].completion_slot = slot;
    keys_[attempt->key].completion_incarnation = writers_[slot].incarnation;
    HandleEffects(slot, writers_[slot].writer->AddCompletion(
                            {KeyName(attempt->key), attempt->token,
                             Answered{200, {}, std::to_string(attempt->token)}},
                            now()));
  });
}

void ClaimSimulation::SendRelease(const Attempt& attempt) {
  if (ProcessFault(10)) return;
  const std::size_t slot = Chance(70) ? attempt.slot : random_.Below(kWriters);
  events_.After(Delay(0, Chance(30) ? 500 : 3), [this, slot, attempt] {
    HandleEffects(
        slot,
        writers_[slot].writer->AddRelease(
            {KeyName(attempt.key), attempt.token, attempt.claimant}, now()));
  });
}

// Simulates the ingress, which retries a request that did not run, with the
// same token.
void ClaimSimulation::RetryLater(const Attempt& attempt) {
  if (attempt.repeats_left == 0 || attempt.epoch != epoch_) return;
  events_.After(Delay(0, 50), [this, attempt] {
    StartAttempt(attempt.key, attempt.token, attempt.repeats_left - 1);
  });
}

// Simulates the caller, whose repeated request gets a new token.
void ClaimSimulation::RepeatLater(const Attempt& attempt) {
  if (attempt.repeats_left == 0) return;
  events_.After(Delay(0, 800), [this, attempt] {
    StartAttempt(attempt.key, random_.Next(), attempt.repeats_left - 1);
  });
}

void ClaimSimulation::CheckAnswer(std::size_t key, const Answered& answer) {
  const KeyHistory& history = keys_[key];
  if (history.runs == 0 ||
      answer.body != std::to_string(history.token_of_run)) {
    ReportViolation("a repeat got an answer other than the first one");
  }
}

// Claims every key once more, without faults, and checks the results.
void ClaimSimulation::CheckAtEnd() {
  std::array<std::optional<ClaimResult>, kKeys> results;
  for (std::size_t key = 0; key < kKeys; ++key) {
    const std::size_t slot = random_.Below(kWriters);
    probes_.emplace(std::pair(slot, ++last_claim_), &results[key]);
    HandleEffects(
        slot, writers_[slot].writer->AddClaim(
                  last_claim_,
                  {KeyName(key), kFingerprint, random_.Next(), random_.Next()},
                  events_.now() + milliseconds(1000), now()));
  }
  events_.RunUntil(events_.now() + milliseconds(1100));
  for (std::size_t key = 0; key < kKeys; ++key) {
    if (!results[key]) return ReportViolation("no answer at the end");
    CheckProbe(key, *results[key]);
  }
}

void ClaimSimulation::CheckProbe(std::size_t key, const ClaimResult& result) {
  const KeyHistory& history = keys_[key];
  const bool is_granted = std::holds_alternative<Granted>(result);
  if (history.runs > 0 && is_granted) ReportViolation("granted after a run");
  const bool has_completion = history.completion_incarnation != 0 &&
                              history.completion_incarnation ==
                                  writers_[history.completion_slot].incarnation;
  const auto* answered = std::get_if<Answered>(&result);
  if (answered != nullptr) CheckAnswer(key, *answered);
  if (has_completion && answered == nullptr) {
    ReportViolation("the answer of a recorded completion is lost");
  }
  if (!options_.has_process_faults && history.runs == 0 && !is_granted) {
    ReportViolation("a key that never ran cannot be claimed");
  }
}

void ClaimSimulation::ReportViolation(const std::string& rule) {
  if (violation_.empty()) violation_ = rule;
}

}  // namespace oleandertide::idempotency
