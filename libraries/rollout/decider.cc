#include "rollout/decider.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace oleandertide::rollout {
namespace {

// Two servers must take part, since a single one may be at fault itself.
constexpr std::size_t kMinTrialServers = 2;

}  // namespace

Decider::Decider(const Options& options, OrderState state,
                 std::uint64_t known_at_ms)
    : options_(options),
      state_(std::move(state)),
      known_at_ms_(known_at_ms),
      has_begun_order_(state_.step == Step::kOrdered) {}

std::uint64_t Decider::TimeAt(double share) const {
  return known_at_ms_ +
         static_cast<std::uint64_t>(share * static_cast<double>(ToMilliseconds(
                                                state_.order.duration)));
}

void Decider::OnReport(const std::string& node, const NodeReport& report,
                       std::uint64_t now_ms) {
  if (report.order != state_.order.position) return;
  if (report.has_totals) {
    history_.Replace(node, report.first_window, report.outcomes);
  } else {
    history_.Add(node, OutcomeWindowAt(now_ms), report.outcomes);
  }
  Node& known = nodes_[node];
  known.report = report;
  known.report.outcomes.clear();
  known.reported_at_ms = now_ms;
}

Decider::Decision Decider::Enter(Step step, std::uint32_t share_permille,
                                 std::string_view reason,
                                 std::uint64_t now_ms) {
  if (step == Step::kTrial && state_.step != Step::kTrial) {
    state_.trial_at_ms = now_ms;
  }
  state_.step = step;
  state_.share_permille = share_permille;
  state_.entered_at_ms = entered_at_ms_ = now_ms;
  return {.state = state_, .reason = reason};
}

std::size_t Decider::CountNewServers(std::uint64_t now_ms) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(nodes_, [&](const auto& entry) {
        const Node& node = entry.second;
        return !is_lost(node, now_ms) && node.report.has_backend &&
               node.report.accepts &&
               node.report.backend_version == state_.order.to;
      }));
}

bool Decider::has_new_capacity(double share, std::uint64_t now_ms) const {
  std::uint64_t old_slots = 0;
  std::uint64_t new_slots = 0;
  for (const auto& [name, node] : nodes_) {
    if (is_lost(node, now_ms) || !node.report.has_backend) continue;
    if (node.report.backend_version != state_.order.to) {
      old_slots += node.report.slots;
    } else if (node.report.accepts) {
      new_slots += node.report.slots;
    }
  }
  return new_slots > 0 && static_cast<double>(new_slots) >=
                              share * static_cast<double>(old_slots);
}

bool Decider::has_ended(std::uint64_t now_ms) const {
  return std::ranges::all_of(nodes_, [&](const auto& entry) {
    const Node& node = entry.second;
    if (is_lost(node, now_ms)) return true;
    // An ingress that acts on an earlier step may still send to the old ones.
    if (node.report.step < Step::kReplacing) return false;
    return !node.report.has_backend ||
           node.report.backend_version == state_.order.to ||
           (node.report.is_empty && !node.report.accepts);
  });
}

bool Decider::is_raised() const {
  return state_.step == Step::kTrial &&
         state_.share_permille > options_.trial_permille;
}

std::uint64_t Decider::TimeForSteps(std::uint64_t now_ms) const {
  const std::uint64_t end_ms = TimeAt(1);
  const std::uint64_t busy_until_ms = now_ms + options_.completion_reserve_ms;
  return end_ms > busy_until_ms ? end_ms - busy_until_ms : 0;
}

std::optional<Decider::Decision> Decider::Raise(std::uint64_t now_ms) {
  constexpr double kPermille = 1000;
  const std::uint64_t available_ms = TimeForSteps(now_ms);
  const auto next =
      std::ranges::upper_bound(options_.step_permille, state_.share_permille);
  if (next != options_.step_permille.end() &&
      available_ms >= options_.min_step_ms &&
      has_new_capacity(*next / kPermille, now_ms)) {
    const auto remaining = static_cast<std::uint64_t>(
        std::distance(next, options_.step_permille.end()));
    // Time for one step only is not divided.
    const std::uint64_t length_ms = available_ms / remaining;
    step_length_ms_ =
        std::min(length_ms < options_.min_step_ms ? available_ms : length_ms,
                 options_.step_ms);
    return Enter(Step::kTrial, *next, "as good as the old version", now_ms);
  }
  if (!has_new_capacity(options_.min_capacity_share, now_ms)) {
    return std::nullopt;
  }
  return Enter(Step::kReplacing, 0, "as good as the old version", now_ms);
}

std::optional<Decider::Decision> Decider::TickTrial(std::uint64_t now_ms) {
  const bool is_last = now_ms >= TimeAt(options_.last_decision_share);
  const Verdict verdict = analysis_.verdict(is_last);
  if (!has_evidence(now_ms)) return std::nullopt;
  const bool is_over =
      now_ms >=
      entered_at_ms_ + (is_raised() ? step_length_ms_ : options_.min_trial_ms);
  const bool is_long_enough =
      is_over || (is_raised() && TimeForSteps(now_ms) == 0);
  if (verdict == Verdict::kGood && is_long_enough) {
    if (auto decision = Raise(now_ms)) return decision;
  }
  if (is_last && is_over) {
    return Enter(Step::kRollingBack, 0,
                 verdict == Verdict::kGood ? "too few backend servers"
                                           : "too little evidence",
                 now_ms);
  }
  return std::nullopt;
}

std::optional<Decider::Decision> Decider::TickReplacing(std::uint64_t now_ms) {
  if (wanted_ == Status::kCompleted) return std::nullopt;
  if (analysis_.verdict() == Verdict::kBad) {
    return Enter(Step::kRollingBack, 0, "worse than the old version", now_ms);
  }
  const bool have_all_reported =
      now_ms >= created_at_ms_ + options_.gathering_ms;
  if (have_all_reported && !nodes_.empty() && has_ended(now_ms)) {
    wanted_ = Status::kCompleted;
  }
  return std::nullopt;
}

void Decider::Adopt(const OrderState& state, std::uint64_t now_ms) {
  if (state.order.position != state_.order.position) return;
  if (std::tie(state.step, state.share_permille) <=
      std::tie(state_.step, state_.share_permille)) {
    return;
  }
  state_ = state;
  entered_at_ms_ = state.entered_at_ms == 0 ? now_ms : state.entered_at_ms;
  step_length_ms_ = options_.step_ms;
}

std::uint64_t Decider::WarmUntil() const {
  if (state_.trial_at_ms != 0) return state_.trial_at_ms + options_.warming_ms;
  return is_raised() ? 0 : entered_at_ms_ + options_.warming_ms;
}

std::optional<Decider::Decision> Decider::Tick(std::optional<Status> status,
                                               std::uint64_t now_ms) {
  if (created_at_ms_ == 0) created_at_ms_ = now_ms;
  if (entered_at_ms_ == 0) {
    entered_at_ms_ = state_.entered_at_ms;
    step_length_ms_ = options_.step_ms;
  }
  if (entered_at_ms_ == 0) {
    entered_at_ms_ = now_ms;
    // Where nodes do not keep what they counted, it is gathered again.
    step_length_ms_ = options_.gathering_ms;
  }
  analysis_ = history_.Analyse(OutcomeWindowAt(WarmUntil()));
  // Told before the store has answered: a trial has no final status yet.
  if (state_.step == Step::kTrial && analysis_.verdict() == Verdict::kBad) {
    return Enter(Step::kRollingBack, 0, "worse than the old version", now_ms);
  }
  if (!status) return std::nullopt;
  // What the store says is final, whoever wrote it.
  if (*status != Status::kRunning) {
    const Step final_step =
        *status == Status::kCompleted ? Step::kCompleted : Step::kRolledBack;
    wanted_ = *status;
    if (state_.step == final_step) return std::nullopt;
    return Enter(final_step, 0, "written to the store", now_ms);
  }
  switch (state_.step) {
    case Step::kOrdered: {
      const std::size_t servers = CountNewServers(now_ms);
      if (servers >= kMinTrialServers) {
        return Enter(Step::kTrial, options_.trial_permille,
                     "backend servers are ready", now_ms);
      }
      if (now_ms >= TimeAt(options_.last_decision_share)) {
        return Enter(Step::kRollingBack, 0, "too few backend servers", now_ms);
      }
      return std::nullopt;
    }
    case Step::kTrial:
      return TickTrial(now_ms);
    case Step::kReplacing:
      return TickReplacing(now_ms);
    case Step::kRollingBack:
      if (now_ms >= entered_at_ms_ + options_.rollback_notice_ms) {
        wanted_ = Status::kRolledBack;
      }
      return std::nullopt;
    case Step::kCancelled:
    case Step::kCompleted:
    case Step::kRolledBack:
      break;
  }
  return std::nullopt;
}

}  // namespace oleandertide::rollout
