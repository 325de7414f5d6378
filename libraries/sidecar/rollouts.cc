#include "sidecar/rollouts.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "logging/log.h"
#include "platform/names.h"
#include "platform/rollout_codec.h"
#include "sidecar/rollouts_codec.h"

namespace oleandertide::sidecar {
namespace {

using logging::Level;

// Interval of reports and decisions: a bad version is stopped well within the
// five seconds that it is allowed.
constexpr Duration kTickInterval = std::chrono::milliseconds(200);

// The share during the trial, as a part of the bound on the exposure.
constexpr double kTrialPart = 0.8;
constexpr double kPermille = 1000;

bool is_in_progress(const rollout::OrderState& state) {
  return state.step < rollout::Step::kCancelled && state.over_at_ms == 0;
}

std::string_view ToString(rollout::Step step) {
  switch (step) {
    case rollout::Step::kOrdered:
      return "ordered";
    case rollout::Step::kTrial:
      return "trial";
    case rollout::Step::kReplacing:
      return "replacing";
    case rollout::Step::kRollingBack:
      return "rolling-back";
    case rollout::Step::kCancelled:
      return "cancelled";
    case rollout::Step::kCompleted:
      return "completed";
    case rollout::Step::kRolledBack:
      return "rolled-back";
  }
  return "unknown";
}

}  // namespace

Rollouts::Rollouts(const Parts& parts, const mesh::Deployment& deployment,
                   std::function<void()> on_changed)
    : parts_(parts),
      on_changed_(std::move(on_changed)),
      timer_(parts.loop),
      renewal_timer_(parts.loop) {
  options_.trial_permille = static_cast<std::uint32_t>(
      deployment.exposure_share * kTrialPart * kPermille);
}

void Rollouts::Start() {
  parts_.coordination.Register(
      CoordinationSubject::kRollouts,
      {.on_report = [this](
                        const std::string& node,
                        std::string_view payload) { OnReport(node, payload); },
       .on_message = [this](std::string_view payload) { OnRenewals(payload); },
       .on_changed = {}});
  Tick();
  RenewTrials();
}

void Rollouts::Tick() {
  timer_.Start(kTickInterval, [this] { Tick(); });
  Report();
  Decide();
}

void Rollouts::Report() {
  const std::uint64_t first_window = report_schedule_.ChooseFirstWindow(
      parts_.coordination.holder().term,
      parts_.clock.EarliestNow(BootClock::now()).value_or(0));
  const mesh::BackendLoad load = parts_.receiver.load();
  std::vector<OrderReport> reports;
  for (const rollout::OrderState& state : parts_.orders.states()) {
    if (!is_in_progress(state)) continue;
    const rollout::Order& order = state.order;
    reports.push_back(
        {.report =
             {.service = order.service,
              .order = order.position,
              .step = state.step,
              .has_backend = parts_.receiver.service() == order.service,
              .backend_version = std::string(parts_.receiver.backend_version()),
              .accepts = load.accepts_requests,
              .is_empty = parts_.receiver.is_idle(),
              .slots = static_cast<std::uint32_t>(std::max(0, load.slots)),
              .outcomes = parts_.outcomes.Take(order.service, order.position)},
         .totals = parts_.outcomes.TotalsFrom(order.service, order.position,
                                              first_window)});
  }
  if (reports.empty()) return;
  report_schedule_.OnSent(parts_.coordination.Report(
      CoordinationSubject::kRollouts, EncodeOrderReports(reports)));
}

void Rollouts::RenewTrials() {
  renewal_timer_.Start(rollout::TrialLeases::kRenewalInterval,
                       [this] { RenewTrials(); });
  const auto now_ms = parts_.clock.EarliestNow(BootClock::now());
  if (!now_ms || !parts_.coordination.is_coordinator()) return;
  std::vector<rollout::TrialRenewal> renewals;
  for (const auto& [service, active] : active_) {
    if (!active.decider.may_renew_trial(*now_ms)) continue;
    renewals.push_back(
        {.service = service,
         .order = active.decider.state().order.position,
         .until_ms = *now_ms + static_cast<std::uint64_t>(ToMilliseconds(
                                   rollout::TrialLeases::kLength))});
  }
  if (renewals.empty()) return;
  const std::string payload = EncodeTrialRenewals(renewals);
  for (const std::string& node : parts_.coordination.reachable_nodes()) {
    parts_.coordination.Send(node, CoordinationSubject::kRollouts, payload);
  }
}

void Rollouts::OnRenewals(std::string_view payload) {
  const auto renewals = DecodeTrialRenewals(payload);
  if (!renewals) {
    logging::Log(Level::kWarning, "rollout", "renewals are not readable", {});
    return;
  }
  for (const rollout::TrialRenewal& renewal : *renewals) {
    parts_.trial_leases.Renew(renewal);
  }
}

void Rollouts::OnReport(const std::string& node, std::string_view payload) {
  const auto now_ms = parts_.clock.EarliestNow(BootClock::now());
  if (!now_ms) return;
  auto reports = DecodeOrderReports(payload);
  if (!reports) {
    logging::Log(Level::kWarning, "rollout", "report is not readable",
                 {{"node", node}});
    return;
  }
  for (rollout::NodeReport& report : *reports) {
    const auto found = active_.find(report.service);
    if (found == active_.end()) continue;
    rollout::Decider& decider = found->second.decider;
    // A node of an earlier version of this project knows no eras.
    if (report.order.era == 0) {
      report.order.era = decider.state().order.position.era;
    }
    decider.OnReport(node, report, *now_ms);
  }
}

void Rollouts::Decide() {
  const auto now_ms = parts_.clock.EarliestNow(BootClock::now());
  if (!parts_.coordination.is_coordinator() || !now_ms) {
    active_.clear();
    return;
  }
  const auto states = parts_.orders.states();
  std::erase_if(active_, [&](const auto& entry) {
    return std::ranges::none_of(states, [&](const rollout::OrderState& state) {
      return state.order.service == entry.first && is_in_progress(state);
    });
  });
  for (const rollout::OrderState& state : states) {
    if (is_in_progress(state)) DecideOn(state, *now_ms);
  }
}

void Rollouts::DecideOn(const rollout::OrderState& state,
                        std::uint64_t now_ms) {
  const std::string& service = state.order.service;
  auto found = active_.find(service);
  if (found != active_.end() &&
      found->second.decider.state().order.position != state.order.position) {
    active_.erase(found);
    found = active_.end();
  }
  if (found == active_.end()) {
    found =
        active_
            .emplace(
                service,
                Active{.decider = rollout::Decider(
                           options_, state,
                           state.known_at_ms == 0 ? now_ms : state.known_at_ms),
                       .writer = rollout::StatusWriter(state.order.to,
                                                       state.order.position),
                       .generation = next_generation_++})
            .first;
    logging::Log(Level::kInfo, "rollout", "deciding",
                 {{"service", service},
                  {"to", state.order.to},
                  {"row_version", state.order.position.version},
                  {"store_era", state.order.position.era},
                  {"step", ToString(state.step)}});
  }
  Active& active = found->second;
  // Another decider may have gone further before this one was elected.
  active.decider.Adopt(state, now_ms);
  const auto decision = active.decider.Tick(active.writer.status(), now_ms);
  if (decision) {
    const auto evidence = active.decider.evidence();
    parts_.metrics.rollout_steps.Add();
    logging::Log(Level::kInfo, "rollout", "step",
                 {{"service", service},
                  {"to", decision->state.order.to},
                  {"row_version", decision->state.order.position.version},
                  {"step", ToString(decision->state.step)},
                  {"reason", decision->reason},
                  {"share_permille", decision->state.share_permille},
                  {"elapsed_ms", now_ms - active.decider.known_at_ms()},
                  {"route", evidence.route},
                  {"kind", evidence.is_slowness ? "slow" : "failed"},
                  {"evidence", evidence.sum},
                  {"bad", evidence.bad},
                  {"total", evidence.total},
                  {"old_share", evidence.old_share}});
    parts_.orders.Merge(decision->state);
    on_changed_();
    RenewTrials();
  }
  Perform(service, active);
}

Rollouts::Active* Rollouts::Find(const std::string& service,
                                 std::uint64_t generation) {
  const auto found = active_.find(service);
  if (found == active_.end() || found->second.generation != generation) {
    return nullptr;
  }
  return &found->second;
}

void Rollouts::Perform(const std::string& service, Active& active) {
  const auto effect = active.writer.Tick(active.decider.wanted_status());
  const std::string key = std::string(platform::kRolloutKeyPrefix) + service;
  const std::uint64_t generation = active.generation;
  if (std::holds_alternative<rollout::StatusWriter::Read>(effect)) {
    parts_.store.ReadRows(platform::kStatusTable, key,
                          [this, service, generation,
                           key](const Result<platform::RowList>& rows) {
                            Active* found = Find(service, generation);
                            if (found == nullptr) return;
                            if (!rows) {
                              found->writer.OnRead(rows.error());
                              return;
                            }
                            std::optional<rollout::StatusRow> status;
                            for (const platform::Row& row : rows.value().rows) {
                              if (row.key != key || row.is_deleted) continue;
                              status = platform::DecodeStatus(row.value,
                                                              row.version);
                            }
                            found->writer.OnRead(status);
                          });
  } else if (const auto* write =
                 std::get_if<rollout::StatusWriter::Write>(&effect)) {
    const std::string value = platform::EncodeStatus(write->row);
    parts_.store.Write(
        {.table = platform::kStatusTable,
         .key = key,
         .expected_version = write->expected_version,
         .value = &value},
        [this, service, generation,
         value](const Result<platform::WriteReceipt>& receipt) {
          logging::Log(
              Level::kInfo, "rollout", "status written",
              {{"service", service},
               {"value", value},
               {"result", receipt ? "done" : receipt.error().message()}});
          Active* found = Find(service, generation);
          if (found == nullptr) return;
          if (receipt) {
            found->writer.OnWritten(receipt.value().version);
          } else {
            found->writer.OnWritten(receipt.error());
          }
        });
  }
}

}  // namespace oleandertide::sidecar
