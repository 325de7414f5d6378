#include "routing/replay_backend.h"

#include <algorithm>
#include <utility>

namespace oleandertide::routing {
namespace {

constexpr Duration kWarmUp = std::chrono::seconds(10);

constexpr AttemptResult kComplete = {Outcome::kComplete, Reason::kNoRoute};

AttemptResult NotRun(Reason reason) { return {Outcome::kNotRun, reason}; }

}  // namespace

ReplayBackend::ReplayBackend(const ReplayBackendOptions& options,
                             EventQueue& events, RandomSource& random)
    : options_(options),
      events_(events),
      random_(random),
      admission_(MakeAdmission()),
      up_since_(events.now()) {}

void ReplayBackend::Offer(std::shared_ptr<ReplayAttempt> attempt) {
  if (!is_up_) {
    attempt->on_end(NotRun(Reason::kConnectFailed));
    return;
  }
  const RequestId id = attempt->id;
  attempts_.emplace(id, attempt);
  if (!options_.has_admission) {
    line_.push_back(id);
    RunNextInLine();
    return;
  }
  const std::uint64_t life = life_;
  events_.At(attempt->deadline, [this, life, id] { OnDeadline(life, id); });
  Apply(admission_.Offer(events_.now(), id, attempt->request_class,
                         attempt->deadline));
}

std::vector<Fingerprint> ReplayBackend::Kill() {
  if (!is_up_) return {};
  is_up_ = false;
  ++life_;
  const Attempts lost = std::exchange(attempts_, {});
  line_.clear();
  busy_ = 0;
  std::vector<Fingerprint> running;
  std::vector<RequestId> ids;
  for (const auto& [id, attempt] : lost) ids.push_back(id);
  std::ranges::sort(ids);  // The order of a hash map differs between runs.
  for (const RequestId id : ids) {
    const auto& attempt = lost.at(id);
    // Without admission, what waits in the line was handed over as well.
    if (!attempt->is_handed_over && options_.has_admission) {
      attempt->on_end(NotRun(Reason::kConnectFailed));
      continue;
    }
    running.push_back(attempt->fingerprint);
    attempt->on_end({Outcome::kUnknown, Reason::kBackendServerDied});
  }
  return running;
}

void ReplayBackend::Restart() {
  is_up_ = true;
  up_since_ = events_.now();
  slow_factor_ = 1;
  drain_ = Drain();
  admission_ = MakeAdmission();
}

void ReplayBackend::StartDrain() {
  drain_.Signal(events_.now());
  const std::uint64_t life = life_;
  const auto check = [this, life] {
    if (life == life_) CheckDrain();
  };
  events_.After(Drain::kAnnounceTime, check);
  events_.After(Drain::kDeadline, check);
}

void ReplayBackend::CheckDrain() {
  if (!is_up_ || !drain_.is_draining()) return;
  const int in_flight =
      static_cast<int>(attempts_.size()) + ingress_in_flight_();
  const DrainState state = drain_.Advance(events_.now(), in_flight);
  if (state == DrainState::kFinishing) admission_.Drain();
  if (state != DrainState::kStopped) return;
  const int cut = static_cast<int>(Kill().size());
  on_stopped_(cut);
}

void ReplayBackend::Apply(const AdmissionDecisions& decisions) {
  for (const RequestId id : decisions.started) Run(attempts_.at(id));
  for (const Refusal& refusal : decisions.refused) {
    End(refusal.id, NotRun(refusal.reason));
  }
}

void ReplayBackend::Run(const std::shared_ptr<ReplayAttempt>& attempt) {
  ++runs_;
  if (events_.now() >= attempt->deadline) ++started_late_;
  attempt->is_handed_over = true;
  attempt->on_start();
  const RequestId id = attempt->id;
  const std::uint64_t life = life_;
  if (attempt->is_crashing) {
    events_.After(Duration(1000), [this, life] {
      if (life == life_) on_crash_();
    });
    return;
  }
  events_.After(ServiceTime(), [this, life, id] { Finish(life, id); });
}

void ReplayBackend::RunNextInLine() {
  while (busy_ < options_.slots && !line_.empty()) {
    ++busy_;
    const RequestId id = line_.front();
    line_.pop_front();
    Run(attempts_.at(id));
  }
}

void ReplayBackend::Finish(std::uint64_t life, RequestId id) {
  if (life != life_ || !attempts_.contains(id)) return;
  End(id, kComplete);
  if (options_.has_admission) {
    Apply(admission_.Finish(events_.now(), id));
  } else {
    --busy_;
    RunNextInLine();
  }
  CheckDrain();
}

// The receiver gives up what is still here at its deadline. The cancellation
// frees slot and connection of a running request.
void ReplayBackend::OnDeadline(std::uint64_t life, RequestId id) {
  if (life != life_) return;
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  if (!found->second->is_handed_over) {
    Apply(admission_.Expire(events_.now()));
  } else {
    End(id, {Outcome::kUnknown, Reason::kDeadlineInFlight});
    Apply(admission_.Finish(events_.now(), id));
  }
  CheckDrain();
}

void ReplayBackend::End(RequestId id, const AttemptResult& result) {
  const auto found = attempts_.find(id);
  const std::shared_ptr<ReplayAttempt> attempt = std::move(found->second);
  attempts_.erase(found);
  attempt->on_end(result);
}

Duration ReplayBackend::ServiceTime() {
  const Duration up = events_.now() - up_since_;
  double factor = slow_factor_ * (0.5 + random_.Unit());
  if (up < kWarmUp) {
    const double cold = 1 - static_cast<double>(up.count()) /
                                static_cast<double>(kWarmUp.count());
    factor *= 1 + (options_.cold_factor - 1) * cold;
  }
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(options_.service_time.count()) * factor));
}

Admission ReplayBackend::MakeAdmission() const {
  return Admission::Create({.slots = options_.slots,
                            .connections = options_.connections,
                            .queue_length = 4 * options_.slots,
                            .initial_service_time = options_.service_time})
      .value();
}

}  // namespace oleandertide::routing
