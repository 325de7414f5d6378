#include "sidecar/node_metrics.h"

#include <string>
#include <string_view>

#include "sidecar/byte_budget.h"

namespace oleandertide::sidecar {
namespace {

std::vector<std::string_view> ReasonNames() {
  std::vector<std::string_view> names;
  names.reserve(mesh::kReasonCount);
  for (int i = 0; i < mesh::kReasonCount; ++i) {
    names.push_back(mesh::ToString(static_cast<mesh::Reason>(i)));
  }
  return names;
}

std::vector<metrics::Counter*> RegisterByReason(metrics::Registry& registry,
                                                std::string_view name,
                                                std::string_view help) {
  return registry.RegisterCounters(name, help, "reason", ReasonNames());
}

std::vector<metrics::Gauge*> RegisterByHolder(metrics::Registry& registry) {
  std::vector<metrics::Gauge*> gauges;
  for (std::size_t i = 0; i < kByteHolderCount; ++i) {
    const auto holder = static_cast<ByteHolder>(i);
    gauges.push_back(&registry.RegisterGauge(
        "held_bytes", "Memory in the account, by holder",
        metrics::Label{"holder", std::string(ToString(holder))}));
  }
  return gauges;
}

}  // namespace

NodeMetrics::NodeMetrics()
    : requests(registry.RegisterCounter(
          "requests_total", "Requests of clients on this instance")),
      answered(registry.RegisterCounter(
          "answered_total", "Requests with an answer of a backend server")),
      unknown_routes(registry.RegisterCounter("unknown_routes_total",
                                              "Requests without a route")),
      unknown_keys(registry.RegisterCounter(
          "unknown_keys_total",
          "Requests refused (401) for want of a known key")),
      untrusted_keys(registry.RegisterCounter(
          "untrusted_keys_total",
          "Requests refused (503) because the configuration's keys were not "
          "confirmed recently")),
      limit_admitted(registry.RegisterCounter(
          "limit_admitted_total",
          "Requests of organisations with a limit that were within it")),
      limit_unavailable(registry.RegisterCounter(
          "limit_unavailable_total",
          "Requests refused (503) because no coordinator answered whether "
          "they are within the limit of their organisation")),
      displaced(registry.RegisterCounter(
          "displaced_total",
          "Attempts within an organisation's share that go before the waiting "
          "requests of others")),
      clients_left(registry.RegisterCounter(
          "clients_left_total",
          "Requests whose client left before the answer")),
      answer_latency(registry.RegisterLatency(
          "answer_seconds", "Time from a request to its answer")),
      refused(RegisterByReason(registry, "refused_total",
                               "Requests refused as not run")),
      failed(RegisterByReason(registry, "failed_total",
                              "Requests of unknown outcome")),
      retried(RegisterByReason(registry, "retried_total",
                               "Requests sent to another node")),
      runs(registry.RegisterCounter(
          "runs_total", "Requests handed to the local backend server")),
      run_latency(registry.RegisterLatency(
          "run_seconds", "Time of requests at the local backend server")),
      connections_lost(registry.RegisterCounter(
          "backend_connections_lost_total",
          "Connections to the local backend server lost during a run")),
      crashes(registry.RegisterCounter("backend_crashes_total",
                                       "Crashes of the local backend server")),
      room_reductions(registry.RegisterCounter(
          "backend_room_reductions_total",
          "Times that the local backend server was found to be full below its "
          "announced slots")),
      link_refusals(registry.RegisterCounter(
          "link_refused_total",
          "Calls of other nodes refused because the instance's link has no "
          "room for a large answer")),
      call_memory_refusals(registry.RegisterCounter(
          "call_memory_refusals_total",
          "Calls of other nodes refused for want of memory")),
      running(registry.RegisterGauge("running", "Requests that hold a slot")),
      waiting(
          registry.RegisterGauge("waiting", "Requests that wait for a slot")),
      link_wait(registry.RegisterGauge(
          "link_wait_seconds",
          "Time that the instance's link needs for what it was given and for "
          "answers that are promised")),
      backend_serving(registry.RegisterGauge(
          "backend_serving",
          "Whether the backend server beside the node takes requests")),
      announcements(registry.RegisterCounter(
          "announcements_total", "Heartbeats of the local backend server")),
      malformed_announcements(
          registry.RegisterCounter("malformed_announcements_total",
                                   "Heartbeats that were not readable")),
      configurations(registry.RegisterCounter("configurations_total",
                                              "Configurations put in force")),
      malformed_configurations(
          registry.RegisterCounter("malformed_configurations_total",
                                   "Configurations that were not readable")),
      configuration_version(registry.RegisterGauge(
          "configuration_version", "Version of the configuration in force")),
      confirmation_age(registry.RegisterGauge(
          "configuration_confirmation_age_seconds",
          "Time since the store confirmed the configuration")),
      buffered_bytes(registry.RegisterGauge(
          "buffered_bytes",
          "Memory in the account of clients, links and answers")),
      held_bytes(RegisterByHolder(registry)),
      resident_bytes(registry.RegisterGauge("resident_bytes",
                                            "Resident memory of the process")),
      memory_refusals(registry.RegisterGauge(
          "memory_refusals",
          "Requests of clients refused (503) for want of memory")),
      memory_evictions(registry.RegisterGauge(
          "memory_evictions",
          "Connections without progress that gave way when memory was short")),
      connections_closed_for_new(registry.RegisterGauge(
          "connections_closed_for_new",
          "Idle connections of clients closed for new ones")),
      links(registry.RegisterGauge("links", "Open links to other nodes")),
      known_nodes(registry.RegisterGauge(
          "known_nodes", "Other nodes that are known, reached or not")),
      malformed_orders(registry.RegisterCounter(
          "malformed_orders_total",
          "Orders to roll out a version that were not readable")),
      backend_held(registry.RegisterGauge(
          "backend_held",
          "Whether the backend server beside the node is held back because of "
          "its version")),
      trial_requests(registry.RegisterCounter(
          "trial_requests_total",
          "Requests sent to a version under an order to roll it out")),
      trial_pauses(registry.RegisterCounter(
          "trial_pauses_total",
          "requests kept from a version on trial while no coordinator renewed "
          "its lease")),
      rollout_steps(registry.RegisterCounter(
          "rollout_steps_total",
          "Steps of roll-outs that this node decided as coordinator")),
      store_calls(
          registry.RegisterCounter("store_calls_total", "Calls to the store")),
      store_failures(registry.RegisterCounter(
          "store_failures_total", "Calls to the store that failed")) {}

}  // namespace oleandertide::sidecar
