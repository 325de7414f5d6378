// Carries out one order: trial, judgement, replacement or roll-back.

#ifndef OLEANDERTIDE_ROLLOUT_DECIDER_H_
#define OLEANDERTIDE_ROLLOUT_DECIDER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "rollout/canary_analysis.h"
#include "rollout/order.h"
#include "rollout/outcome_history.h"
#include "rollout/status_writer.h"

namespace oleandertide::rollout {

// What a node tells the decider of one order.
struct NodeReport {
  std::string service{};
  // Position of the order.
  StorePosition order{};
  // The step that the node acts on.
  Step step = Step::kOrdered;
  // Whether a backend server of the service is beside it, and of which version.
  bool has_backend = false;
  std::string backend_version{};
  // Whether it accepts requests.
  bool accepts = false;
  // Whether nothing runs at it and nothing waits for it.
  bool is_empty = false;
  std::uint32_t slots = 0;
  // Whether `outcomes` are the totals of all windows from `first_window` on.
  // Nodes of an earlier version of this project tell what they counted since
  // the last report, without windows.
  bool has_totals = false;
  std::uint64_t first_window = 0;
  std::vector<RouteOutcome> outcomes{};
};

// Decides on one order at the coordinator. Begins from what the states that
// other nodes told and the status row say, and from the totals that the nodes
// keep, so another coordinator goes on where one ended. All times are of the
// store's clock, in milliseconds, so that they are the same for each decider.
//
// Load pattern: orders of 12 to 16 s; backend servers of the new version start
// within the first seconds and turn bad at once, late, on one route or under
// load; a good version on a bad day. Nodes are lost, partitioned and restarted;
// coordinators are lost one after the other.
//
// Not thread-safe.
class Decider {
 public:
  struct Options {
    // Share of requests for the version on trial; below the bound, since the
    // counts of the store's users and of ingresses may differ by some requests.
    std::uint32_t trial_permille = 80;
    // Least time of a trial: a version that turns bad 3 s after its start is
    // bad for long enough to be seen.
    std::uint64_t min_trial_ms = 4500;
    // Share of the order's duration after which the trial is decided: what
    // remains is for the runs of the old version.
    double last_decision_share = 0.7;
    // A node that has not reported for this long is lost.
    std::uint64_t silence_ms = 3000;
    // Time for which a decider waits for reports before it takes the nodes that
    // it knows for all: after an election, nodes open links to the coordinator.
    std::uint64_t gathering_ms = 2500;
    // The same before it takes what was counted for all that there is, and lets
    // the trial go on. A version that is bad by what is known by then is rolled
    // back at once.
    std::uint64_t evidence_gathering_ms = 800;
    // Time since the begin of the trial in which slowness does not count: new
    // backend servers run at half their speed at first.
    std::uint64_t warming_ms = 2500;
    // Shares of the steps between the trial and all traffic, rising. What an
    // ingress saved since the order lasts for about 1 s of the first one
    // (Exposure); the second one then mostly adds time.
    std::array<std::uint32_t, 2> step_permille{250, 500};
    // Length of a step. A late version is seen bad within about 1 s.
    std::uint64_t step_ms = 1500;
    // A shorter step shows nothing: reports come every 200 ms and are judged in
    // windows of 250 ms.
    std::uint64_t min_step_ms = 600;
    // Time before the end of the order in which no step is begun or continued:
    // 2.5 s for the runs of the old version, 1.5 s to spare and 1 s for the
    // messages and the status row.
    std::uint64_t completion_reserve_ms = 5000;
    // Time for nodes to learn that a version is rolled back before the store
    // is told.
    std::uint64_t rollback_notice_ms = 600;
    // New slots, as a share of the old ones, that a replacement needs.
    double min_capacity_share = 0.7;
  };

  // Why the step is what it is, for the log.
  struct Decision {
    OrderState state;
    std::string_view reason;
  };

  // `state` is the order as this node knows it; `known_at_ms` is when a node
  // first knew it.
  Decider(const Options& options, OrderState state, std::uint64_t known_at_ms);

  // Takes in what a node reports.
  void OnReport(const std::string& node, const NodeReport& report,
                std::uint64_t now_ms);

  // Takes over a later step, or a greater share of the same step, that another
  // decider, or the operator, took.
  void Adopt(const OrderState& state, std::uint64_t now_ms);

  // Called some times a second. `status` is what the store is known to have.
  // Returns the next step, if it changed.
  std::optional<Decision> Tick(std::optional<Status> status,
                               std::uint64_t now_ms);

  // Whether the lease of the trial may be renewed: the version is on trial, and
  // what the nodes counted before this decider began is known.
  bool may_renew_trial(std::uint64_t now_ms) const {
    return state_.needs_lease() && has_evidence(now_ms);
  }

  // The status that the store should have now.
  Status wanted_status() const { return wanted_; }

  const OrderState& state() const { return state_; }
  std::uint64_t known_at_ms() const { return known_at_ms_; }
  CanaryAnalysis::Evidence evidence() const { return analysis_.evidence(); }

 private:
  struct Node {
    NodeReport report;
    std::uint64_t reported_at_ms = 0;
  };

  // `share_permille` is 0 except in a trial.
  Decision Enter(Step step, std::uint32_t share_permille,
                 std::string_view reason, std::uint64_t now_ms);
  // Enters the next share that there is time and capacity for, or kReplacing.
  // Nothing if the new version lacks the capacity for all traffic.
  std::optional<Decision> Raise(std::uint64_t now_ms);
  // Until when new backend servers may be slow without being at fault.
  std::uint64_t WarmUntil() const;
  // Whether the share was raised above the trial's.
  bool is_raised() const;
  // Time until the old version has to get nothing more.
  std::uint64_t TimeForSteps(std::uint64_t now_ms) const;
  std::optional<Decision> TickTrial(std::uint64_t now_ms);
  std::optional<Decision> TickReplacing(std::uint64_t now_ms);
  bool has_ended(std::uint64_t now_ms) const;
  // Whether there was time for reports that tell what was counted earlier.
  bool has_evidence(std::uint64_t now_ms) const {
    return has_begun_order_ ||
           now_ms >= created_at_ms_ + options_.evidence_gathering_ms;
  }
  // Whether the new version's slots are at least this share of the old one's.
  bool has_new_capacity(double share, std::uint64_t now_ms) const;
  std::size_t CountNewServers(std::uint64_t now_ms) const;
  bool is_lost(const Node& node, std::uint64_t now_ms) const {
    return now_ms > node.reported_at_ms + options_.silence_ms;
  }
  // Time at which the share of the order's duration has passed.
  std::uint64_t TimeAt(double share) const;

  const Options options_;
  OrderState state_;
  const std::uint64_t known_at_ms_;
  // Whether nothing was sent to the new version before this decider began.
  const bool has_begun_order_;
  std::uint64_t created_at_ms_ = 0;
  // When the present step began; see OrderState.
  std::uint64_t entered_at_ms_ = 0;
  // Least time in the present share.
  std::uint64_t step_length_ms_ = 0;
  Status wanted_ = Status::kRunning;
  OutcomeHistory history_;
  // Of the history at the last tick.
  CanaryAnalysis analysis_;
  std::map<std::string, Node, std::less<>> nodes_;
};

}  // namespace oleandertide::rollout

#endif  // OLEANDERTIDE_ROLLOUT_DECIDER_H_
