// Roll-outs: reports of this node, and the deciders while it coordinates.

#ifndef OLEANDERTIDE_SIDECAR_ROLLOUTS_H_
#define OLEANDERTIDE_SIDECAR_ROLLOUTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "coordination/store_clock.h"
#include "mesh/deployment.h"
#include "rollout/decider.h"
#include "rollout/order_book.h"
#include "rollout/outcome_collector.h"
#include "rollout/status_writer.h"
#include "rollout/trial_leases.h"
#include "sidecar/coordination.h"
#include "sidecar/event_loop.h"
#include "sidecar/node_metrics.h"
#include "sidecar/receiver.h"
#include "sidecar/store_client.h"
#include "sidecar/timer.h"

namespace oleandertide::sidecar {

// While there is an order in progress, reports to the coordinator what this
// node sees; on the coordinator, runs a decider for each order, renews the
// leases of trials and writes the status rows. Not thread-safe.
class Rollouts {
 public:
  struct Parts {
    EventLoop& loop;
    StoreClient& store;
    Coordination& coordination;
    Receiver& receiver;
    rollout::OrderBook& orders;
    rollout::OutcomeCollector& outcomes;
    rollout::TrialLeases& trial_leases;
    coordination::StoreClock& clock;
    NodeMetrics& metrics;
  };

  // `on_changed` is called when a decider changed the state of an order.
  Rollouts(const Parts& parts, const mesh::Deployment& deployment,
           std::function<void()> on_changed);

  // Begins to report and decide. Precondition: called before
  // Coordination::Start.
  void Start();

 private:
  struct Active {
    rollout::Decider decider;
    rollout::StatusWriter writer;
    // Tells answers to an earlier decider of the same order apart.
    std::uint64_t generation = 0;
  };

  void Tick();
  void Report();
  void OnReport(const std::string& node, std::string_view payload);
  // Tells all nodes that the trials that are looked after may go on.
  void RenewTrials();
  void OnRenewals(std::string_view payload);
  void Decide();
  void DecideOn(const rollout::OrderState& state, std::uint64_t now_ms);
  void Perform(const std::string& service, Active& active);
  Active* Find(const std::string& service, std::uint64_t generation);

  const Parts parts_;
  rollout::Decider::Options options_;
  const std::function<void()> on_changed_;
  std::map<std::string, Active, std::less<>> active_;
  std::uint64_t next_generation_ = 1;
  rollout::ReportSchedule report_schedule_;
  Timer timer_;
  Timer renewal_timer_;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_ROLLOUTS_H_
