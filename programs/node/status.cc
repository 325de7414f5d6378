#include "node/status.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <vector>

namespace oleandertide::node {
namespace {

using NamedCounts = std::vector<std::pair<const char*, std::uint64_t>>;

NamedCounts DistributionCounts(const distribution::Counters& counters) {
  return {
      {"exchanges_sent", counters.exchanges_sent},
      {"exchanges_received", counters.exchanges_received},
      {"exchanges_failed", counters.exchanges_failed},
      {"replies_unmatched", counters.replies_unmatched},
      {"input_rejected", counters.input_rejected},
      {"synchronisations", counters.synchronisations},
      {"suspicions", counters.suspicions},
      {"platform_reads", counters.platform_reads},
      {"platform_read_errors", counters.platform_read_errors},
      {"contacts_reads", counters.contacts_reads},
      {"contacts_writes", counters.contacts_writes},
      {"documents_fetched", counters.documents_fetched},
      {"documents_invalid", counters.documents_invalid},
      {"documents_damaged", counters.documents_damaged},
      {"documents_missing", counters.documents_missing},
      {"documents_unavailable", counters.documents_unavailable},
      {"activations", counters.activations},
      {"older_sequences_refused", counters.older_sequences_refused},
      {"digest_conflicts", counters.digest_conflicts},
      {"commits_counted", counters.commits_counted},
      {"pauses", counters.pauses},
  };
}

NamedCounts ClaimCounts(const idempotency::ClaimWriterCounters& counters) {
  return {
      {"claims", counters.claims},
      {"granted", counters.granted},
      {"answered", counters.answered},
      {"already_running", counters.already_running},
      {"answer_not_kept", counters.answer_not_kept},
      {"key_reused", counters.key_reused},
      {"store_unavailable", counters.store_unavailable},
      {"transactions", counters.transactions},
      {"rows_written", counters.rows_written},
      {"lost_answers", counters.lost_answers},
      {"withdrawn", counters.withdrawn},
  };
}

NamedCounts JobCounts(const jobs::JobCounters& counters) {
  return {
      {"claimed", counters.claimed},
      {"calls", counters.calls},
      {"caught_up", counters.caught_up},
      {"missed", counters.missed},
      {"ignored_as_new", counters.ignored_as_new},
      {"sequence_differs", counters.sequence_differs},
      {"store_errors", counters.store_errors},
      {"damaged_rows", counters.damaged_rows},
      {"invalid_jobs", counters.invalid_jobs},
      {"already_claimed", counters.already_claimed},
      {"claims_refused", counters.claims_refused},
      {"lost_answers", counters.lost_answers},
      {"start_window_passed", counters.start_window_passed},
      {"withheld", counters.withheld},
  };
}

NamedCounts PlatformCounts(const store::HttpStoreStatistics& statistics) {
  return {{"requests", statistics.requests},
          {"failures", statistics.failures},
          {"bytes_sent", statistics.bytes_sent},
          {"bytes_received", statistics.bytes_received}};
}

NamedCounts TrafficCounts(const peers::Traffic& traffic) {
  return {{"bytes_sent", traffic.bytes_sent},
          {"bytes_received", traffic.bytes_received},
          {"packets", traffic.packets},
          {"connections", traffic.connections}};
}

nlohmann::json ToJson(const NamedCounts& counts) {
  nlohmann::json object = nlohmann::json::object();
  for (const auto& [name, count] : counts) object[name] = count;
  return object;
}

nlohmann::json StandingsEntered(const ControlStatus& control) {
  nlohmann::json object = nlohmann::json::object();
  for (std::size_t i = 0; i < kStandings; ++i) {
    const auto standing = static_cast<distribution::Standing>(i);
    object[std::string(distribution::ToString(standing))] =
        control.standings_entered[i];
  }
  return object;
}

nlohmann::json ToJson(const distribution::Version& version) {
  return {{"sequence", version.sequence}, {"digest", version.digest}};
}

nlohmann::json MembersByState(const membership::MemberView& members) {
  std::map<std::string, int> counts;
  for (const auto& member : members.members()) {
    ++counts[std::string(membership::ToString(member->state))];
  }
  return counts;
}

void AppendMetric(std::string& text, std::string_view name,
                  std::string_view kind, std::string_view value) {
  text.append("# TYPE ").append(name).append(" ").append(kind);
  text.append("\n").append(name).append(" ").append(value).append("\n");
}

void AppendCounters(std::string& text, std::string_view group,
                    const NamedCounts& counts) {
  for (const auto& [name, count] : counts) {
    std::string metric = "oleandertide_";
    metric.append(group).append("_").append(name).append("_total");
    AppendMetric(text, metric, "counter", std::to_string(count));
  }
}

void AppendGauge(std::string& text, std::string_view name, double value) {
  std::string metric = "oleandertide_";
  metric.append(name);
  AppendMetric(text, metric, "gauge", std::to_string(value));
}

void AppendStandings(std::string& text, const ControlStatus& control) {
  constexpr std::string_view kName = "oleandertide_standing_entered_total";
  text.append("# TYPE ").append(kName).append(" counter\n");
  for (std::size_t i = 0; i < kStandings; ++i) {
    const auto standing = static_cast<distribution::Standing>(i);
    text.append(kName).append("{standing=\"");
    text.append(distribution::ToString(standing)).append("\"} ");
    text.append(std::to_string(control.standings_entered[i])).append("\n");
  }
}

double AgeSeconds(const StatusReport& report) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  if (!report.control.confirmation_age) return -1;
  return static_cast<double>(report.control.confirmation_age->count()) /
         kMicrosecondsPerSecond;
}

}  // namespace

std::string ToStatusJson(const StatusReport& report) {
  nlohmann::json age = nullptr;
  if (report.control.confirmation_age) age = AgeSeconds(report);
  const nlohmann::json status = {
      {"address", report.address},
      {"environment", report.settings.node.environment},
      {"data_centre", report.settings.node.data_centre},
      {"region", report.settings.node.region},
      {"service", report.settings.node.service},
      {"standing", distribution::ToString(report.control.standing)},
      {"standings_entered", StandingsEntered(report.control)},
      {"ready", report.control.is_ready},
      {"draining", report.is_draining},
      {"reader", report.control.is_reader},
      {"sequence", report.active_sequence},
      {"active", ToJson(report.control.active)},
      {"held", ToJson(report.control.held)},
      {"committed", report.control.committed},
      {"confirmation_age_seconds", age},
      {"last_refusal", report.control.last_refusal},
      {"older_snapshots_refused", report.older_snapshots_refused},
      {"backend_server", report.has_backend_server},
      {"requests_in_flight", report.requests_in_flight},
      {"members", MembersByState(*report.control.members)},
      {"distribution", ToJson(DistributionCounts(report.control.counters))},
      {"claims", ToJson(ClaimCounts(report.claims))},
      {"jobs", ToJson(JobCounts(report.jobs))},
      {"platform", ToJson(PlatformCounts(report.platform))},
      {"peer_traffic", ToJson(TrafficCounts(report.peers))},
  };
  return status.dump() + "\n";
}

std::string ToMetricsText(const StatusReport& report) {
  std::string text;
  AppendGauge(text, "sequence", static_cast<double>(report.active_sequence));
  AppendGauge(text, "standing", static_cast<double>(report.control.standing));
  AppendStandings(text, report.control);
  AppendGauge(text, "confirmation_age_seconds", AgeSeconds(report));
  AppendGauge(text, "requests_in_flight", report.requests_in_flight);
  AppendCounters(text, "distribution",
                 DistributionCounts(report.control.counters));
  AppendCounters(text, "claims", ClaimCounts(report.claims));
  AppendCounters(text, "jobs", JobCounts(report.jobs));
  AppendCounters(text, "platform", PlatformCounts(report.platform));
  return text;
}

}  // namespace oleandertide::node
