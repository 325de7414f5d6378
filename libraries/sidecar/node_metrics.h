// Counters and latencies of a node.

#ifndef OLEANDERTIDE_SIDECAR_NODE_METRICS_H_
#define OLEANDERTIDE_SIDECAR_NODE_METRICS_H_

#include <vector>

#include "mesh/outcome.h"
#include "metrics/registry.h"

namespace oleandertide::sidecar {

// Registered once; the references stay valid. Thread-safe.
struct NodeMetrics {
  NodeMetrics();

  metrics::Registry registry;

  // Of clients.
  metrics::Counter& requests;
  metrics::Counter& answered;
  metrics::Counter& unknown_routes;
  metrics::Counter& unknown_keys;
  metrics::Counter& untrusted_keys;
  // Of organisations with a limit; refusals are counted by organisation.
  metrics::Counter& limit_admitted;
  metrics::Counter& limit_unavailable;
  metrics::Counter& displaced;
  metrics::Counter& clients_left;
  metrics::LatencyAccumulator& answer_latency;
  // By reason.
  std::vector<metrics::Counter*> refused;
  std::vector<metrics::Counter*> failed;
  std::vector<metrics::Counter*> retried;

  // At the backend server.
  metrics::Counter& runs;
  metrics::LatencyAccumulator& run_latency;
  metrics::Counter& connections_lost;
  metrics::Counter& crashes;
  metrics::Counter& room_reductions;
  metrics::Counter& link_refusals;
  metrics::Counter& call_memory_refusals;
  metrics::Gauge& running;
  metrics::Gauge& waiting;
  metrics::Gauge& link_wait;

  // Of control.
  metrics::Gauge& backend_serving;
  metrics::Counter& announcements;
  metrics::Counter& malformed_announcements;
  metrics::Counter& configurations;
  metrics::Counter& malformed_configurations;
  metrics::Gauge& configuration_version;
  metrics::Gauge& confirmation_age;
  metrics::Gauge& buffered_bytes;
  // Parts of buffered_bytes, by ByteHolder.
  std::vector<metrics::Gauge*> held_bytes;
  metrics::Gauge& resident_bytes;
  metrics::Gauge& memory_refusals;
  metrics::Gauge& memory_evictions;
  metrics::Gauge& connections_closed_for_new;
  metrics::Gauge& links;
  metrics::Gauge& known_nodes;
  metrics::Counter& malformed_orders;
  metrics::Gauge& backend_held;
  metrics::Counter& trial_requests;
  metrics::Counter& trial_pauses;
  metrics::Counter& rollout_steps;
  metrics::Counter& store_calls;
  metrics::Counter& store_failures;

  // Returns the counter of `reason` in one of the vectors above.
  static metrics::Counter& At(const std::vector<metrics::Counter*>& counters,
                              mesh::Reason reason) {
    return *counters[static_cast<std::size_t>(reason)];
  }
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_NODE_METRICS_H_
