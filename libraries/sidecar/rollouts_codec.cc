#include "sidecar/rollouts_codec.h"

#include <capnp/message.h>

#include <cstdint>
#include <map>
#include <utility>

#include "sidecar/packed_message.h"
#include "sidecar/rollouts.capnp.h"

namespace oleandertide::sidecar {
namespace {

// A message has at most this many words; it has some hundred mostly.
constexpr std::uint64_t kMaxWords = 1U << 18U;

std::string ToText(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

void Encode(const rollout::NodeReport& report,
            rollout_wire::OrderReport::Builder builder) {
  builder.setService(report.service);
  builder.setOrderVersion(report.order.version);
  builder.setOrderEra(report.order.era);
  builder.setStep(static_cast<std::uint8_t>(report.step));
  builder.setHasBackend(report.has_backend);
  builder.setBackendVersion(report.backend_version);
  builder.setAccepts(report.accepts);
  builder.setIsEmpty(report.is_empty);
  builder.setSlots(report.slots);
  auto outcomes =
      builder.initOutcomes(static_cast<unsigned>(report.outcomes.size()));
  for (unsigned i = 0; i < outcomes.size(); ++i) {
    const rollout::RouteOutcome& outcome = report.outcomes[i];
    outcomes[i].setRoute(outcome.route);
    outcomes[i].setServer(outcome.server);
    outcomes[i].setIsNew(outcome.is_new);
    outcomes[i].setTotal(outcome.counts.total);
    outcomes[i].setFailed(outcome.counts.failed);
    outcomes[i].setSlow(outcome.counts.slow);
  }
}

// Position of each name in the list that is sent.
class NameTable {
 public:
  std::uint16_t IndexOf(std::string_view name) {
    const auto index = static_cast<std::uint16_t>(names_.size());
    const auto [entry, is_added] =
        indexes_.try_emplace(std::string(name), index);
    if (is_added) names_.push_back(name);
    return entry->second;
  }

  std::span<const std::string_view> names() const { return names_; }

 private:
  std::map<std::string, std::uint16_t> indexes_;
  // Views of the names that were given.
  std::vector<std::string_view> names_;
};

void Encode(const rollout::OutcomeCollector::Totals& totals,
            rollout_wire::OrderReport::Builder builder) {
  builder.setHasTotals(true);
  builder.setFirstWindow(totals.first_window);
  NameTable table;
  auto counters =
      builder.initCounters(static_cast<unsigned>(totals.outcomes.size()));
  for (unsigned i = 0; i < counters.size(); ++i) {
    const rollout::RouteOutcome& outcome = totals.outcomes[i];
    counters[i].setRoute(table.IndexOf(outcome.route));
    counters[i].setServer(table.IndexOf(outcome.server));
    counters[i].setIsNew(outcome.is_new);
    counters[i].setWindow(outcome.window);
    counters[i].setTotal(outcome.counts.total);
    counters[i].setFailed(outcome.counts.failed);
    counters[i].setSlow(outcome.counts.slow);
  }
  const auto names = table.names();
  auto texts = builder.initNames(static_cast<unsigned>(names.size()));
  for (unsigned i = 0; i < texts.size(); ++i) {
    texts.set(i, {names[i].data(), names[i].size()});
  }
}

// Counters whose names are missing are left out.
std::vector<rollout::RouteOutcome> DecodeCounters(
    rollout_wire::OrderReport::Reader reader) {
  std::vector<rollout::RouteOutcome> outcomes;
  const auto names = reader.getNames();
  for (const auto counter : reader.getCounters()) {
    if (counter.getRoute() >= names.size() ||
        counter.getServer() >= names.size()) {
      continue;
    }
    outcomes.push_back({.route = ToText(names[counter.getRoute()]),
                        .server = ToText(names[counter.getServer()]),
                        .is_new = counter.getIsNew(),
                        .counts = {.total = counter.getTotal(),
                                   .failed = counter.getFailed(),
                                   .slow = counter.getSlow()},
                        .window = counter.getWindow()});
  }
  return outcomes;
}

rollout::NodeReport Decode(rollout_wire::OrderReport::Reader reader) {
  rollout::NodeReport report{
      .service = ToText(reader.getService()),
      .order = {.era = reader.getOrderEra(),
                .version = reader.getOrderVersion()},
      .step = static_cast<rollout::Step>(reader.getStep()),
      .has_backend = reader.getHasBackend(),
      .backend_version = ToText(reader.getBackendVersion()),
      .accepts = reader.getAccepts(),
      .is_empty = reader.getIsEmpty(),
      .slots = reader.getSlots(),
      .has_totals = reader.getHasTotals(),
      .first_window = reader.getFirstWindow()};
  if (report.has_totals) {
    report.outcomes = DecodeCounters(reader);
    return report;
  }
  for (const auto outcome : reader.getOutcomes()) {
    report.outcomes.push_back({.route = ToText(outcome.getRoute()),
                               .server = ToText(outcome.getServer()),
                               .is_new = outcome.getIsNew(),
                               .counts = {.total = outcome.getTotal(),
                                          .failed = outcome.getFailed(),
                                          .slow = outcome.getSlow()}});
  }
  return report;
}

}  // namespace

std::string EncodeOrderReports(std::span<const OrderReport> reports) {
  capnp::MallocMessageBuilder message;
  auto orders = message.initRoot<rollout_wire::Report>().initOrders(
      static_cast<unsigned>(reports.size()));
  for (unsigned i = 0; i < orders.size(); ++i) {
    Encode(reports[i].report, orders[i]);
    Encode(reports[i].totals, orders[i]);
  }
  return WritePacked(message);
}

std::string EncodeTrialRenewals(
    std::span<const rollout::TrialRenewal> renewals) {
  capnp::MallocMessageBuilder message;
  auto builders = message.initRoot<rollout_wire::TrialRenewals>().initRenewals(
      static_cast<unsigned>(renewals.size()));
  for (unsigned i = 0; i < builders.size(); ++i) {
    builders[i].setService(renewals[i].service);
    builders[i].setOrderVersion(renewals[i].order.version);
    builders[i].setOrderEra(renewals[i].order.era);
    builders[i].setUntilMs(renewals[i].until_ms);
  }
  return WritePacked(message);
}

std::optional<std::vector<rollout::NodeReport>> DecodeOrderReports(
    std::string_view payload) {
  return ReadPacked<rollout_wire::Report>(
      payload, kMaxWords, [](rollout_wire::Report::Reader root) {
        std::vector<rollout::NodeReport> reports;
        for (const auto order : root.getOrders()) {
          reports.push_back(Decode(order));
        }
        return reports;
      });
}

std::optional<std::vector<rollout::TrialRenewal>> DecodeTrialRenewals(
    std::string_view payload) {
  return ReadPacked<rollout_wire::TrialRenewals>(
      payload, kMaxWords, [](rollout_wire::TrialRenewals::Reader root) {
        std::vector<rollout::TrialRenewal> renewals;
        for (const auto renewal : root.getRenewals()) {
          renewals.push_back({.service = ToText(renewal.getService()),
                              .order = {.era = renewal.getOrderEra(),
                                        .version = renewal.getOrderVersion()},
                              .until_ms = renewal.getUntilMs()});
        }
        return renewals;
      });
}

}  // namespace oleandertide::sidecar
