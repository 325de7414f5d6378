#include "sidecar/limits.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "logging/log.h"
#include "sidecar/limits_codec.h"

namespace oleandertide::sidecar {
namespace {

using logging::Level;
using organisations::LimitMap;

// Requests for tokens of several clients are sent together.
constexpr Duration kAskInterval = std::chrono::milliseconds(5);

constexpr Duration kTickInterval = std::chrono::milliseconds(10);

// An organisation without a refusal for so long is within its limit again.
constexpr Duration kWithinLimitAfter = std::chrono::seconds(5);

// Organisations whose refusals are counted by name: the first ones that are
// refused. The others are counted together.
constexpr std::size_t kNamedOrganisations = 20;
constexpr std::string_view kOthers = "others";

}  // namespace

Limits::Limits(const Parts& parts, const Options& options)
    : parts_(parts),
      options_(options),
      // Half of the range is left, so that numbers never wrap.
      stock_({}, parts.random.Next() >> 1U),
      ask_timer_(parts.loop),
      tick_timer_(parts.loop) {
  parts_.coordination.Register(
      CoordinationSubject::kLimits,
      {.on_report = [this](
                        const std::string& node,
                        std::string_view payload) { OnReport(node, payload); },
       .on_message = [this](std::string_view payload) { OnMessage(payload); },
       .on_changed = [this] { OnCoordinatorChanged(); }});
}

Limits::Stock::Decision Limits::Request(std::string_view organisation,
                                        OnDecision on_decision) {
  const Stock::Decision decision =
      stock_.Request(organisation, BootClock::now());
  if (const auto* waiting = std::get_if<Stock::Waiting>(&decision)) {
    if (waiters_.empty()) {
      tick_timer_.Start(kTickInterval, [this] { Tick(); });
    }
    waiters_.emplace(waiting->ticket,
                     Waiter{std::string(organisation), std::move(on_decision)});
  } else {
    Count(organisation, decision);
  }
  if (stock_.has_to_ask()) ScheduleAsk();
  return decision;
}

void Limits::Withdraw(Stock::Ticket ticket) {
  stock_.Withdraw(ticket);
  waiters_.erase(ticket);
}

void Limits::Refund(std::string_view organisation, BootTime expires_at) {
  stock_.Refund(organisation, expires_at, BootClock::now());
}

void Limits::ScheduleAsk() {
  if (std::exchange(is_ask_scheduled_, true)) return;
  // The first request asks at once, but not before the present event ends: the
  // answer of this node itself would come before the caller is told to wait.
  const Duration since = BootClock::now() - asked_at_;
  ask_timer_.Start(std::max(Duration::zero(), kAskInterval - since), [this] {
    is_ask_scheduled_ = false;
    Ask();
  });
}

void Limits::Ask() {
  asked_at_ = BootClock::now();
  const auto request = stock_.TakeRequest(asked_at_);
  if (!request) return;
  if (!parts_.coordination.Report(CoordinationSubject::kLimits,
                                  EncodeTokenRequest(*request))) {
    // Asked again with the next tick or request.
    stock_.OnNotSent(request->sequence);
  }
}

void Limits::Tick() {
  Settle(stock_.Tick(BootClock::now()));
  if (stock_.has_to_ask()) ScheduleAsk();
  if (!waiters_.empty()) {
    tick_timer_.Start(kTickInterval, [this] { Tick(); });
  }
}

void Limits::Settle(const std::vector<Stock::Settled>& settled) {
  for (const Stock::Settled& item : settled) {
    auto waiter = waiters_.extract(item.ticket);
    if (waiter.empty()) {
      // An earlier function of this round gave the request up: nobody uses the
      // token.
      continue;
    }
    Count(waiter.mapped().organisation, item.decision);
    waiter.mapped().on_decision(item.decision);
  }
}

metrics::Counter& Limits::RefusedCounter(const std::string& organisation) {
  const auto found = named_.find(organisation);
  if (found != named_.end()) return *found->second;
  const bool is_named = named_.size() < kNamedOrganisations;
  metrics::Counter& counter = parts_.metrics.registry.RegisterCounter(
      "limit_refused_total",
      "Requests refused (429) because their organisation was over its limit; "
      "organisations beyond the first few together",
      metrics::Label{"organisation",
                     is_named ? organisation : std::string(kOthers)});
  if (is_named) named_.emplace(organisation, &counter);
  return counter;
}

void Limits::Count(std::string_view organisation,
                   const Stock::Decision& decision) {
  const BootTime now = BootClock::now();
  if (std::holds_alternative<Stock::Admitted>(decision)) {
    parts_.metrics.limit_admitted.Add();
  } else if (std::holds_alternative<Stock::Unavailable>(decision)) {
    parts_.metrics.limit_unavailable.Add();
  } else if (std::holds_alternative<Stock::OverLimit>(decision)) {
    const auto [state, is_new] =
        refused_.try_emplace(std::string(organisation));
    RefusedCounter(state->first).Add();
    if (is_new) {
      const mesh::Organisation* limited = FindOrganisation(organisation);
      logging::Log(Level::kWarning, "limits", "organisation over its limit",
                   {{"organisation", organisation},
                    {"rate", limited == nullptr ? 0 : limited->rate},
                    {"burst", limited == nullptr ? 0 : limited->burst},
                    {"coordinator", parts_.coordination.holder().node},
                    {"term", parts_.coordination.holder().term}});
    }
    state->second.last_refused = now;
    ++state->second.refused;
  }
  const auto state = refused_.find(organisation);
  if (state != refused_.end() &&
      now - state->second.last_refused >= kWithinLimitAfter) {
    logging::Log(
        Level::kInfo, "limits", "organisation within its limit again",
        {{"organisation", organisation}, {"refused", state->second.refused}});
    refused_.erase(state);
  }
}

const mesh::Organisation* Limits::FindOrganisation(
    std::string_view name) const {
  if (!applied_) return nullptr;
  const auto found = applied_->organisations.find(name);
  return found == applied_->organisations.end() ? nullptr : found->second.get();
}

organisations::LimitMap Limits::MakeLimits() const {
  LimitMap limits;
  if (!applied_) return limits;
  for (const auto& [name, organisation] : applied_->organisations) {
    if (!organisation->is_limited()) continue;
    limits.emplace(name, organisations::Limit{.rate = organisation->rate,
                                              .burst = organisation->burst});
  }
  return limits;
}

void Limits::OnConfigurationChanged() {
  const auto before = std::exchange(applied_, parts_.configuration.current());
  // Versions share unchanged organisations.
  if (before && applied_ && before->organisations == applied_->organisations) {
    return;
  }
  if (before) {
    for (const auto& [name, organisation] : before->organisations) {
      const auto found = applied_->organisations.find(name);
      if (found == applied_->organisations.end() ||
          (found->second != organisation &&
           found->second->rate < organisation->rate)) {
        stock_.EndStandingRate(name);
      }
    }
  }
  if (!is_coordinator_) return;
  allocator_.SetLimits(MakeLimits(), BootClock::now());
}

void Limits::OnCoordinatorChanged() {
  const bool is_now = parts_.coordination.is_coordinator();
  const std::uint64_t term = parts_.coordination.holder().term;
  if (is_now && (!is_coordinator_ || term != term_)) {
    allocator_.Begin(MakeLimits(), BootClock::now());
  }
  is_coordinator_ = is_now;
  term_ = term;
}

void Limits::OnReport(const std::string& node, std::string_view payload) {
  // The coordination has checked that this node is the coordinator now. Before
  // it has told so, buckets are not set up.
  if (!is_coordinator_ || term_ != parts_.coordination.holder().term) return;
  if (!applied_ || parts_.configuration.confirmation_age(
                       MonotonicClock::now()) > options_.configuration_limit) {
    return;
  }
  const auto request = DecodeTokenRequest(payload);
  if (!request) return;
  const BootTime now = BootClock::now();
  const organisations::TokenAllocator::Lease lease{
      .end_ms = parts_.coordination.holder().lease_end_ms,
      .earlier_rights_end_ms = parts_.coordination.earlier_rights_end_ms(),
      .now_ms = parts_.store_clock.EarliestNow(now).value_or(0),
      // Known, since this node holds the lease.
      .latest_now_ms = parts_.store_clock.LatestNow(now).value_or(
          parts_.coordination.holder().lease_end_ms)};
  parts_.coordination.Send(
      node, CoordinationSubject::kLimits,
      EncodeTokenGrant(allocator_.Grant(*request, node, lease, now)));
}

void Limits::OnMessage(std::string_view payload) {
  const auto grant = DecodeTokenGrant(payload);
  if (!grant) return;
  Settle(stock_.OnGrant(*grant, BootClock::now()));
  if (stock_.has_to_ask()) ScheduleAsk();
}

}  // namespace oleandertide::sidecar
