#include "idempotency/group_commit_scheme.h"

#include <algorithm>
#include <utility>

namespace oleandertide::idempotency {

GroupCommitScheme::GroupCommitScheme(testing::EventQueue& events,
                                     VirtualPlatform& platform,
                                     std::size_t writers)
    : events_(events), platform_(platform), writers_(writers) {
  for (std::size_t decider = 0; decider < kDeciders; ++decider) {
    Restart(decider);
  }
}

void GroupCommitScheme::Claim(std::size_t decider, ClaimRequest request,
                              MonotonicTime deadline, Callback callback) {
  decider %= writers_;
  const ClaimId id = ++last_claim_;
  processes_[decider].waiting.emplace(id, std::move(callback));
  Deliver(decider,
          [this, id, request = std::move(request), deadline](ClaimWriter& w) {
            return w.AddClaim(id, request, deadline, now());
          });
}

void GroupCommitScheme::Complete(std::size_t decider, Completion completion) {
  Deliver(decider % writers_,
          [this, completion = std::move(completion)](ClaimWriter& writer) {
            return writer.AddCompletion(completion, now());
          });
}

void GroupCommitScheme::Restart(std::size_t decider) {
  Process& process = processes_[decider];
  ClaimWriterOptions options;
  options.environment = "bench";
  process.writer = std::make_unique<ClaimWriter>(options);
  ++process.incarnation;
  process.paused_until = events_.now();
  // Receivers without an answer do not hand over; their callers get an unknown
  // outcome.
  for (const auto& [id, callback] : std::exchange(process.waiting, {})) {
    callback(AlreadyRunning{});
  }
}

void GroupCommitScheme::Pause(std::size_t decider, Duration time) {
  processes_[decider].paused_until = events_.now() + time;
}

void GroupCommitScheme::Deliver(
    std::size_t decider,
    std::function<ClaimWriterEffects(ClaimWriter&)> input) {
  Process& process = processes_[decider];
  if (events_.now() >= process.paused_until) {
    HandleEffects(decider, input(*process.writer));
    return;
  }
  events_.After(process.paused_until - events_.now(),
                [this, decider, incarnation = process.incarnation,
                 input = std::move(input)] {
                  if (processes_[decider].incarnation == incarnation)
                    Deliver(decider, input);
                });
}

void GroupCommitScheme::HandleEffects(std::size_t decider,
                                      ClaimWriterEffects effects) {
  Process& process = processes_[decider];
  const auto deliver = [this, decider,
                        incarnation = process.incarnation](auto input) {
    if (processes_[decider].incarnation == incarnation) Deliver(decider, input);
  };
  for (ClaimWriterEffect& effect : effects) {
    if (auto* commit = std::get_if<CommitClaims>(&effect)) {
      platform_.Transact(
          std::move(commit->conditions), std::move(commit->writes),
          [this, deliver, operation = commit->operation](auto outcome) {
            deliver([this, operation, outcome](ClaimWriter& writer) {
              return writer.HandleTransaction(operation, outcome, now());
            });
          });
    } else if (auto* read = std::get_if<ReadClaimRow>(&effect)) {
      platform_.Read(
          std::move(read->key),
          [this, deliver, operation = read->operation](auto outcome) {
            deliver([this, operation, outcome](ClaimWriter& writer) {
              return writer.HandleRead(operation, outcome, now());
            });
          });
    } else {
      AnswerClaim& answer = std::get<AnswerClaim>(effect);
      const auto waiting = process.waiting.extract(answer.claim);
      if (!waiting.empty()) waiting.mapped()(std::move(answer.result));
    }
  }
  const auto wake = process.writer->next_wake_time();
  if (!wake) return;
  const Duration delay = std::max(*wake - events_.now(), Duration(1));
  events_.After(
      delay, [this, decider, incarnation = process.incarnation, deliver] {
        if (processes_[decider].incarnation != incarnation) return;
        // Every input schedules a wake; only one that is due schedules another.
        const auto due = processes_[decider].writer->next_wake_time();
        if (!due || *due > events_.now()) return;
        deliver([this](ClaimWriter& writer) { return writer.Advance(now()); });
      });
}

}  // namespace oleandertide::idempotency
