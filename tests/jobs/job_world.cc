#include "job_world.h"

#include <algorithm>
#include <utility>

namespace oleandertide::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kEnvironment = "production";
constexpr Duration kPauseLimit = seconds(2);
// Clock differences and delays that a timely run may show.
constexpr seconds kTolerance{5};
constexpr Duration kRunTime = std::chrono::minutes(10);

Job EveryMinute(std::string name, MissedPolicy missed) {
  return {std::move(name), "route", seconds(60), seconds(7), missed};
}

}  // namespace

JobWorld::JobWorld(std::uint64_t seed, JobWorldOptions options)
    : options_(options), random_(seed) {
  table_.set_checks_conditions(options.checks_conditions);
  Accept();
  for (Node& node : nodes_) {
    node.sequence = 1;
    node.clock_offset = random_.Between(seconds(-1), seconds(1));
    Restart(node);
    node.is_allowed = true;
  }
}

std::string JobWorld::Run() {
  for (Node& node : nodes_) {
    TickEverySecond(node);
    for (int pause = 0; pause < 5; ++pause) {
      events_.After(Delay(0, 600), [this, &node] {
        node.paused_until = events_.now() + Delay(1, Chance(50) ? 25 : 90);
      });
    }
    if (Chance(50)) {
      events_.After(Delay(0, 600), [this, &node] {
        node.has_stepped = true;
        node.clock_offset -= Delay(1, 120);
      });
    }
    if (Chance(50)) {
      events_.After(Delay(0, 600), [this, &node] { Restart(node); });
    }
  }
  for (int change = 0; change < 6; ++change) {
    events_.After(Delay(0, 600), [this] { Accept(); });
  }
  events_.After(Delay(0, 600), [this] { is_down_ = true; });
  events_.After(Delay(0, 600), [this] { is_down_ = false; });
  events_.RunUntil(events_.now() + kRunTime);
  return violation_;
}

Duration JobWorld::Delay(int low_seconds, int high_seconds) {
  return random_.Between(seconds(low_seconds), seconds(high_seconds));
}

WallTime JobWorld::TrueTime() const {
  return WallTime(
      std::chrono::floor<seconds>(events_.now().time_since_epoch()));
}

SchedulerTime JobWorld::TimeOf(const Node& node) const {
  return {WallTime(std::chrono::floor<seconds>(
              events_.now().time_since_epoch() + node.clock_offset)),
          events_.now()};
}

// Accepts a configuration with a random choice of the jobs.
void JobWorld::Accept() {
  std::vector<Job> jobs;
  if (Chance(60)) jobs.push_back(EveryMinute("skip", MissedPolicy::kSkip));
  if (Chance(60)) jobs.push_back(EveryMinute("run", MissedPolicy::kRunLatest));
  configurations_.push_back(std::move(jobs));
  const std::uint64_t sequence = configurations_.size();
  const store::Write write{EnvironmentRowKey(kEnvironment),
                           R"({"sequence":)" + std::to_string(sequence) + "}"};
  static_cast<void>(table_.Transact({}, {&write, 1}));
  for (Node& node : nodes_) {
    Deliver(node, random_.Between(milliseconds(0), seconds(6)),
            [this, &node, sequence] {
              node.sequence = std::max(node.sequence, sequence);
              if (Chance(50)) Tick(node);
            });
  }
}

// The node hears from its peers and the platform again.
void JobWorld::Confirm(Node& node) {
  node.sequence = configurations_.size();
  node.is_allowed = true;
}

void JobWorld::Restart(Node& node) {
  ++node.life;
  node.scheduler.emplace(
      JobSchedulerOptions{.environment = kEnvironment,
                          .holder = "node",
                          .start_window = options_.has_start_window
                                              ? kStartWindow
                                              : Duration(seconds(3600))},
      RandomSource(random_.Next()));
  node.is_allowed = false;
  node.last_tick = events_.now();
  Deliver(node, Delay(0, 5), [this, &node] { Confirm(node); });
}

void JobWorld::Deliver(Node& node, Duration delay,
                       std::function<void()> event) {
  events_.After(delay,
                [this, &node, life = node.life, event = std::move(event)] {
                  if (node.life != life) return;
                  if (!IsPaused(node)) return event();
                  Deliver(node, node.paused_until - events_.now(), event);
                });
}

void JobWorld::TickEverySecond(Node& node) {
  events_.After(random_.Between(milliseconds(900), milliseconds(1100)),
                [this, &node] {
                  if (!IsPaused(node)) Tick(node);
                  TickEverySecond(node);
                });
}

void JobWorld::Tick(Node& node) {
  if (events_.now() - node.last_tick > kPauseLimit) {
    node.is_allowed = false;
    Deliver(node, Delay(0, 3), [this, &node] { Confirm(node); });
  }
  node.last_tick = events_.now();
  const SchedulerInput input{node.is_allowed,
                             configurations_[node.sequence - 1], node.sequence};
  Take(node, node.scheduler->Tick(
                 TimeOf(node), input,
                 [this](std::string_view, WallTime) { return Chance(60); }));
}

void JobWorld::Take(Node& node, const JobEffects& effects) {
  for (const JobEffect& effect : effects) {
    if (const auto* read = std::get_if<ReadJobRows>(&effect)) {
      Read(node, *read);
    } else if (const auto* claim = std::get_if<ClaimDueTime>(&effect)) {
      Claim(node, *claim);
    } else {
      const SendCall call = std::get<SendCall>(effect);
      Deliver(node, random_.Between(milliseconds(0), milliseconds(50)),
              [this, &node, call] { Send(node, call); });
    }
  }
}

void JobWorld::Read(Node& node, const ReadJobRows& read) {
  events_.After(
      milliseconds(random_.Below(50)), [this, &node, life = node.life, read] {
        if (node.life != life) return;
        Result<store::ReadOutcome> job = table_.ReadRow(read.job_row_key, {});
        if (is_down_ || Chance(10)) job = Error::kUnavailable;
        const auto environment = table_.ReadRow(read.environment_row_key, {});
        Deliver(node, milliseconds(random_.Below(50)),
                [this, &node, read, job, environment] {
                  Take(node, node.scheduler->HandleRows(
                                 read.job, job, environment, TimeOf(node)));
                });
      });
}

void JobWorld::Claim(Node& node, const ClaimDueTime& claim) {
  const auto answer = [this, &node,
                       claim](Result<store::TransactionOutcome> outcome) {
    const bool is_unknown =
        outcome.has_error() && outcome.error() == Error::kOutcomeUnknown;
    if (is_unknown && !options_.compares_tokens) {
      outcome = store::TransactionOutcome(store::Committed{});
    }
    Deliver(node, milliseconds(random_.Below(50)),
            [this, &node, claim, outcome] {
              Take(node, node.scheduler->HandleClaim(claim.job, claim.row.token,
                                                     outcome, TimeOf(node)));
            });
  };
  // The interesting time for a pause and a change is that of a claim.
  if (Chance(15)) {
    events_.After(milliseconds(random_.Below(100)), [this, &node] {
      node.paused_until = events_.now() + Delay(1, 40);
    });
  }
  if (Chance(15)) events_.After(Delay(0, 10), [this] { Accept(); });
  const std::uint64_t fate = random_.Below(100);
  if (is_down_ || fate < 10) return answer(Error::kUnavailable);
  if (fate < 15) return answer(Error::kOutcomeUnknown);
  const bool is_late = fate < 30;
  if (is_late) answer(Error::kOutcomeUnknown);
  events_.After(
      is_late ? Delay(0, 20) : Duration(milliseconds(random_.Below(50))),
      [this, claim, answer, fate, is_late] {
        const ClaimTransaction transaction = BuildClaim(kEnvironment, claim);
        const auto outcome =
            table_.Transact(transaction.conditions, transaction.writes);
        if (is_late) return;
        const bool is_lost = fate < 45;
        answer(is_lost ? Error::kOutcomeUnknown : outcome);
      });
}

void JobWorld::Send(Node& node, const SendCall& call) {
  if (!IsStartAllowed(call, events_.now())) return;
  events_.After(random_.Between(milliseconds(0), seconds(1)),
                [this, call, has_stepped = node.has_stepped] {
                  Receive(call, has_stepped);
                });
}

void JobWorld::Receive(const SendCall& call, bool has_stepped) {
  const Node& receiver = nodes_[random_.Below(kNodes)];
  // A receiver that was paused knows it before its next tick.
  if (IsPaused(receiver) || !receiver.is_allowed ||
      events_.now() - receiver.last_tick > kPauseLimit) {
    return;
  }
  if (options_.has_receiver_check &&
      IsRunAllowed(call.job, call.sequence,
                   configurations_[receiver.sequence - 1],
                   receiver.sequence) != RunDecision::kAllowed) {
    return;
  }
  ++runs_;
  if (++runs_by_key_[call.idempotency_key] > 1) Violate("a due time ran twice");
  if (IsRetirementInForce(call.job)) Violate("a retired job ran");
  if (call.job == "skip" && !has_stepped &&
      TrueTime() - call.due > kStartWindow + kTolerance) {
    Violate("a due time ran late");
  }
}

// True if every node that serves acts on a configuration without the job, and
// no later one has it.
bool JobWorld::IsRetirementInForce(const std::string& job) const {
  std::uint64_t in_force = configurations_.size();
  for (const Node& node : nodes_) {
    const bool is_serving = !IsPaused(node) && node.is_allowed &&
                            events_.now() - node.last_tick <= kPauseLimit;
    if (is_serving) in_force = std::min(in_force, node.sequence);
  }
  for (std::size_t index = in_force - 1; index < configurations_.size();
       ++index) {
    for (const Job& known : configurations_[index]) {
      if (known.name == job) return false;
    }
  }
  return true;
}

void JobWorld::Violate(const std::string& rule) {
  if (violation_.empty()) violation_ = rule;
}

}  // namespace oleandertide::jobs
