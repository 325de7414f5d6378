#include "rollout/order_book.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace oleandertide::rollout {
namespace {

auto Rank(const OrderState& state) {
  return std::tie(state.order.position, state.step, state.share_permille,
                  state.over_at_ms, state.withheld);
}

// Earlier of two times of which 0 is unknown.
std::uint64_t Earliest(std::uint64_t left, std::uint64_t right) {
  if (left == 0 || right == 0) return std::max(left, right);
  return std::min(left, right);
}

// Gives both states of one order the earliest times that either tells. Returns
// whether `known` changed.
bool ShareTimes(OrderState& known, OrderState& state) {
  const OrderState before = known;
  known.known_at_ms = Earliest(known.known_at_ms, state.known_at_ms);
  known.trial_at_ms = Earliest(known.trial_at_ms, state.trial_at_ms);
  if (known.step == state.step &&
      known.share_permille == state.share_permille) {
    known.entered_at_ms = Earliest(known.entered_at_ms, state.entered_at_ms);
    state.entered_at_ms = known.entered_at_ms;
  }
  state.known_at_ms = known.known_at_ms;
  state.trial_at_ms = known.trial_at_ms;
  return known != before;
}

// Whether the operator wrote `known` again after a return of the store.
bool IsSameAgain(const Order& known, const Order& order) {
  return order.position.era > known.position.era && order.to == known.to &&
         order.duration == known.duration;
}

// Step from which an order goes on that was written again.
Step StepAgain(Step step) {
  switch (step) {
    case Step::kOrdered:
    case Step::kTrial:
    case Step::kReplacing:
    case Step::kRollingBack:
      return step;
    case Step::kCompleted:
      return Step::kReplacing;
    case Step::kRolledBack:
      return Step::kRollingBack;
    case Step::kCancelled:
      break;
  }
  return Step::kOrdered;
}

}  // namespace

bool OrderBook::Put(const Order& order, std::uint64_t time_ms) {
  return Apply({.order = order, .known_at_ms = time_ms});
}

bool OrderBook::Cancel(OrderState& state, StoreMoment moment) {
  // The order may be newer than what the store knew.
  if (state.order.position > moment.position || state.over_at_ms != 0) {
    return false;
  }
  const auto duration_ms =
      static_cast<std::uint64_t>(ToMilliseconds(state.order.duration));
  state.over_at_ms = moment.time_ms + std::max<std::uint64_t>(1, duration_ms);
  // After a return of the store, the operator may be about to write it again.
  if (state.order.position.era == moment.position.era) {
    state.step = std::max(state.step, Step::kCancelled);
  }
  return true;
}

bool OrderBook::Remove(std::string_view service, StoreMoment moment) {
  const auto found = states_.find(service);
  return found != states_.end() && Cancel(found->second, moment);
}

bool OrderBook::RemoveOthers(std::span<const std::string> services,
                             StoreMoment moment) {
  bool is_changed = false;
  for (auto& [service, state] : states_) {
    if (std::ranges::find(services, service) != services.end()) continue;
    is_changed |= Cancel(state, moment);
  }
  return is_changed;
}

void OrderBook::RecordRead(StoreMoment moment) {
  if (moment.position > read_.position) read_ = moment;
}

bool OrderBook::Merge(OrderState state) {
  const auto found = states_.find(state.order.service);
  StorePosition& position = state.order.position;
  if (position.era == 0) {
    position.era = read_.position.era;
    if (found != states_.end()) {
      position.era = std::max(position.era, found->second.order.position.era);
    }
  }
  const bool is_known =
      found != states_.end() && found->second.order.position >= position;
  if (!is_known) Cancel(state, read_);
  return Apply(std::move(state));
}

bool OrderBook::Apply(OrderState state) {
  const auto found = states_.find(state.order.service);
  if (found == states_.end()) {
    if (states_.size() >= kMaxOrders) return false;
    std::string service = state.order.service;
    states_.emplace(std::move(service), std::move(state));
    return true;
  }
  OrderState& known = found->second;
  const bool is_same = state.order.position == known.order.position;
  if (state.order.position > known.order.position && !is_over(known)) {
    CarryOver(known, state);
  }
  // Nodes that knew the earlier order tell the others.
  if (is_same && state.withheld.empty()) state.withheld = known.withheld;
  const bool is_known_earlier = is_same && ShareTimes(known, state);
  if (Rank(state) <= Rank(known)) return is_known_earlier;
  known = std::move(state);
  return true;
}

void OrderBook::CarryOver(const OrderState& known, OrderState& state) {
  if (IsSameAgain(known.order, state.order)) {
    if (known.known_at_ms != 0) state.known_at_ms = known.known_at_ms;
    state.trial_at_ms = Earliest(known.trial_at_ms, state.trial_at_ms);
    if (state.withheld.empty()) state.withheld = known.withheld;
    const Step step = StepAgain(known.step);
    if (step > state.step) {
      state.step = step;
      state.share_permille = known.share_permille;
      state.entered_at_ms = known.entered_at_ms;
    } else if (step == state.step) {
      state.share_permille =
          std::max(state.share_permille, known.share_permille);
    }
    return;
  }
  if (known.step != Step::kCompleted && known.order.to != state.order.to &&
      state.withheld.empty()) {
    state.withheld = known.order.to;
  }
}

void OrderBook::Advance(std::uint64_t store_time_ms) {
  store_time_ms_ = std::max(store_time_ms_, store_time_ms);
}

const OrderState* OrderBook::Find(std::string_view service) const {
  const auto found = states_.find(service);
  if (found == states_.end() || is_over(found->second)) return nullptr;
  return &found->second;
}

std::vector<OrderState> OrderBook::states() const {
  std::vector<OrderState> states;
  states.reserve(states_.size());
  for (const auto& [service, state] : states_) states.push_back(state);
  return states;
}

}  // namespace oleandertide::rollout
