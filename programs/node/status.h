// What a node shows its operators.

#ifndef OLEANDERTIDE_NODE_STATUS_H_
#define OLEANDERTIDE_NODE_STATUS_H_

#include <string>

#include "config/node_settings.h"
#include "idempotency/claim_writer.h"
#include "jobs/job_scheduler.h"
#include "node/control.h"
#include "peers/traffic.h"
#include "store/http_store.h"

namespace oleandertide::node {

// The state of a node at one moment.
struct StatusReport {
  const config::NodeSettings& settings;
  std::string address;
  ControlStatus control;
  std::uint64_t active_sequence = 0;
  std::uint64_t older_snapshots_refused = 0;
  int requests_in_flight = 0;
  bool is_draining = false;
  bool has_backend_server = false;
  idempotency::ClaimWriterCounters claims;
  jobs::JobCounters jobs;
  store::HttpStoreStatistics platform;
  peers::Traffic peers;
};

// The body of /status.
std::string ToStatusJson(const StatusReport& report);

// The lines of /metrics that are read from the report, in the Prometheus text
// format.
std::string ToMetricsText(const StatusReport& report);

}  // namespace oleandertide::node

#endif  // OLEANDERTIDE_NODE_STATUS_H_
