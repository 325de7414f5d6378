// Counts outcomes at an ingress for the decider of a roll-out.

#ifndef OLEANDERTIDE_ROLLOUT_OUTCOME_COLLECTOR_H_
#define OLEANDERTIDE_ROLLOUT_OUTCOME_COLLECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/store_position.h"
#include "core/time.h"
#include "rollout/outcome_history.h"

namespace oleandertide::rollout {

// What came of a request that was sent under an order.
struct SentRequest {
  std::string_view service;
  StorePosition order{};
  std::string_view route;
  // Node beside the backend server.
  std::string_view server;
  bool is_new = false;
};

// Keeps what this node counted of each order for as long as it lasts, so that
// any decider can have all of it. Windows beyond the bound are added to the
// oldest one.
//
// Not thread-safe.
class OutcomeCollector {
 public:
  // What a node tells of an order: the totals of all windows from the first one
  // on.
  struct Totals {
    std::uint64_t first_window = 0;
    std::vector<RouteOutcome> outcomes{};
  };

  // Records an answer at a time of the store's clock; a run time counts as slow
  // by the mean of the old version's answers on the route.
  void RecordAnswer(const SentRequest& sent, bool is_failure, Duration run_time,
                    std::uint64_t now_ms);
  // Records a request without answer that the backend server is to blame for.
  void RecordFailure(const SentRequest& sent, std::uint64_t now_ms);

  // Returns the totals from `window` on, or from the first window that this
  // process has of the order.
  Totals TotalsFrom(std::string_view service, StorePosition order,
                    std::uint64_t window) const;

  // Returns what was counted for an order since the last call, without windows.
  std::vector<RouteOutcome> Take(std::string_view service, StorePosition order);

 private:
  struct Mean {
    double us = 0;
    int count = 0;
  };
  struct Service {
    StorePosition order{};
    detail::OutcomeWindows windows;
    std::size_t counters = 0;
    detail::OutcomeCounters untold;
    std::map<std::string, Mean, std::less<>> old_means;
  };

  Service& Find(const SentRequest& sent);
  static void Count(Service& service, const SentRequest& sent,
                    const OutcomeCounts& counts, std::uint64_t now_ms);
  // Makes room for a counter. Returns whether there is any.
  static bool MakeRoom(Service& service);

  std::map<std::string, Service, std::less<>> services_;
};

// Chooses which windows a report tells: all to a coordinator that may not have
// them, else the last ones, some of which may have been lost on the way.
//
// Not thread-safe.
class ReportSchedule {
 public:
  // Returns the first window to tell at a time of the store's clock; 0 stands
  // for all. `term` is that of the coordinator.
  std::uint64_t ChooseFirstWindow(std::uint64_t term, std::uint64_t now_ms);

  // Records whether the report was handed to a link.
  void OnSent(bool is_sent);

 private:
  std::uint64_t term_ = 0;
  // Reports that still tell all windows.
  int whole_reports_ = 0;
};

}  // namespace oleandertide::rollout

#endif  // OLEANDERTIDE_ROLLOUT_OUTCOME_COLLECTOR_H_
