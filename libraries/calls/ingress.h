// The first node on a call's path.

#ifndef OLEANDERTIDE_CALLS_INGRESS_H_
#define OLEANDERTIDE_CALLS_INGRESS_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <stop_token>
#include <string>
#include <string_view>
#include <variant>

#include "calls/call.h"
#include "calls/call_counters.h"
#include "calls/endpoint_directory.h"
#include "calls/published_standing.h"
#include "calls/receiver.h"
#include "config/snapshot_holder.h"
#include "peers/peer_client.h"
#include "routing/endpoint_chooser.h"
#include "routing/quarantine.h"
#include "routing/retry_policy.h"

namespace oleandertide::calls {

// Finds the route of a call, chooses backend servers and retries. Thread-safe;
// all references must outlive it.
class Ingress {
 public:
  struct Parts {
    const config::SnapshotHolder& snapshots;
    const PublishedStanding& standing;
    const EndpointDirectory& endpoints;
    peers::PeerClient& peers;
    Receiver& receiver;
    routing::Quarantine& quarantine;
    CallCounters& counters;
  };

  struct Options {
    std::string own_address;  // For peers; calls to it stay in the process.
    Duration default_timeout = std::chrono::seconds(2);
    routing::RetryBudget::Options not_run_budget =
        routing::RetryBudget::NotRunOptions();
    routing::RetryBudget::Options unknown_budget =
        routing::RetryBudget::UnknownOptions();
  };

  Ingress(Parts parts, const Options& options);

  // Serves a caller's request. `timeout` is the caller's, if it gave one; it
  // goes before the route's and the node's. Blocks until the outcome is known.
  CallResult Handle(Request request, std::optional<Duration> timeout,
                    const std::stop_token& cancelled);

  // Sends the call of a scheduled job on the route of that name, if it can be
  // handed over before `must_start_before`.
  CallResult HandleJob(std::string_view job, std::string_view route,
                       std::string idempotency_key,
                       MonotonicTime must_start_before);

  // Refuses new calls with kDraining from now on.
  void StopAccepting() { is_accepting_ = false; }

  // Calls in progress.
  int in_flight() const { return in_flight_; }

 private:
  struct Decision {
    RoutePolicy policy;
    std::uint64_t sequence = 0;
    std::optional<Duration> timeout;
  };
  using RouteResult = std::variant<Decision, routing::Reason>;

  RouteResult FindRoute(const Request& request) const;
  CallResult Finish(CallResult result);
  CallResult Forward(const Decision& decision, Request request,
                     std::string_view job, const std::stop_token& cancelled);
  CallResult SendWithRetries(const routing::EndpointTable& table,
                             ForwardedRequest& request,
                             const std::stop_token& cancelled);
  CallResult SendOnce(const routing::Endpoint& endpoint,
                      const ForwardedRequest& request,
                      std::stop_token cancelled);

  Parts parts_;
  const std::string own_address_;
  const Duration default_timeout_;
  routing::EndpointChooser chooser_;
  routing::RetryPolicy retry_policy_;
  std::atomic<std::uint64_t> next_id_;
  std::atomic<bool> is_accepting_{true};
  std::atomic<int> in_flight_{0};
};

}  // namespace oleandertide::calls

#endif  // OLEANDERTIDE_CALLS_INGRESS_H_
