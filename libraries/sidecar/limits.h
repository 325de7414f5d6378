// Holds requests of clients to the limits of their organisations.

#ifndef OLEANDERTIDE_SIDECAR_LIMITS_H_
#define OLEANDERTIDE_SIDECAR_LIMITS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/random.h"
#include "core/time.h"
#include "mesh/configuration_holder.h"
#include "organisations/token_allocator.h"
#include "organisations/token_stock.h"
#include "sidecar/coordination.h"
#include "sidecar/event_loop.h"
#include "sidecar/node_metrics.h"
#include "sidecar/timer.h"

namespace oleandertide::sidecar {

// Connects both sides of the limits to the coordination of the fleet: this node
// asks the coordinator for tokens, and grants them while it is the coordinator.
//
// Not thread-safe.
class Limits {
 public:
  using Stock = organisations::TokenStock;
  using OnDecision = std::function<void(const Stock::Decision&)>;

  struct Options {
    // A coordinator whose configuration was not confirmed for so long grants
    // nothing: it may not know of a lowered limit.
    Duration configuration_limit = std::chrono::milliseconds(2500);
  };

  // All outlive this object.
  struct Parts {
    EventLoop& loop;
    Coordination& coordination;
    const mesh::ConfigurationHolder& configuration;
    NodeMetrics& metrics;
    RandomSource& random;
    const coordination::StoreClock& store_clock;
  };

  // Registers at the coordination, which must not have started.
  Limits(const Parts& parts, const Options& options);

  // Decides on a request of an organisation with a limit. If it has to wait,
  // returns Waiting, and calls `on_decision` with another decision later, never
  // before this returns.
  Stock::Decision Request(std::string_view organisation,
                          OnDecision on_decision);

  // A request that waits is given up; its function is not called.
  void Withdraw(Stock::Ticket ticket);

  // Takes back the token of a request that certainly did not run.
  void Refund(std::string_view organisation, BootTime expires_at);

  // A configuration came in force.
  void OnConfigurationChanged();

 private:
  struct Waiter {
    std::string organisation;
    OnDecision on_decision;
  };
  struct OrganisationState {
    BootTime last_refused{};
    bool is_logged_as_over_limit = false;
    std::uint64_t refused = 0;
  };

  organisations::LimitMap MakeLimits() const;
  void ScheduleAsk();
  void Ask();
  void Tick();
  void Settle(const std::vector<Stock::Settled>& settled);
  void Count(std::string_view organisation, const Stock::Decision& decision);
  void OnReport(const std::string& node, std::string_view payload);
  void OnMessage(std::string_view payload);
  void OnCoordinatorChanged();
  metrics::Counter& RefusedCounter(const std::string& organisation);
  // Null if the configuration in force has no such organisation.
  const mesh::Organisation* FindOrganisation(std::string_view name) const;

  const Parts parts_;
  const Options options_;
  Stock stock_;
  organisations::TokenAllocator allocator_;
  // Limits of the configuration in force.
  std::shared_ptr<const mesh::Configuration> applied_;
  bool is_coordinator_ = false;
  std::uint64_t term_ = 0;
  std::unordered_map<Stock::Ticket, Waiter> waiters_;
  // Organisations that were refused requests lately.
  std::map<std::string, OrganisationState, std::less<>> refused_;
  // Each name has a counter for the life of the process, so their number is
  // bounded.
  std::map<std::string, metrics::Counter*, std::less<>> named_;
  Timer ask_timer_;
  Timer tick_timer_;
  bool is_ask_scheduled_ = false;
  BootTime asked_at_{};
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_LIMITS_H_
