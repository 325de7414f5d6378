// Takes requests of clients on the instance and sees to their answers.

#ifndef OLEANDERTIDE_SIDECAR_INGRESS_H_
#define OLEANDERTIDE_SIDECAR_INGRESS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "coordination/store_clock.h"
#include "core/random.h"
#include "core/time.h"
#include "mesh/attempt_policy.h"
#include "mesh/average.h"
#include "mesh/configuration_holder.h"
#include "mesh/link_backlog.h"
#include "mesh/organisation_policy.h"
#include "mesh/placement.h"
#include "mesh/retry_allowance.h"
#include "mesh/service_choice.h"
#include "mesh/stop_policy.h"
#include "organisations/key_trust.h"
#include "organisations/share_tracker.h"
#include "platform/http_codec.h"
#include "rollout/exposure.h"
#include "rollout/order_book.h"
#include "rollout/outcome_collector.h"
#include "rollout/trial_leases.h"
#include "routing/quarantine.h"
#include "sidecar/event_loop.h"
#include "sidecar/http_server.h"
#include "sidecar/limits.h"
#include "sidecar/link_client.h"
#include "sidecar/node_metrics.h"
#include "sidecar/receiver.h"

namespace oleandertide::sidecar {

// Finds the route of a request, has it placed and sent, and answers with what
// comes of it. Each request gets one answer: that of a backend server, "not
// run" (503) or "unknown" (502, 504). Not thread-safe.
class Ingress {
 public:
  struct Options {
    std::string node;
    std::string data_centre;
    // Service of the instance.
    std::string service;
    mesh::RetryAllowance::Options retries;
    mesh::Placement::Options placement;
    // Whether large answers go only to links with room; see
    // mesh::ChooseLinkAllowance.
    bool bounds_links = false;
    // See organisations::KeyTrust; without it, keys are honoured as the
    // configuration in force says.
    std::optional<organisations::KeyTrust> key_trust{};
    // Greatest share of requests for a version on trial.
    double max_trial_share = 0;
    // A route that is not in the configuration is denied only if the store has
    // confirmed the configuration within this time.
    Duration denial_age = std::chrono::seconds(2);
  };

  // What the ingress works with; all outlive it.
  struct Parts {
    EventLoop& loop;
    Receiver& receiver;
    LinkClient& links;
    const mesh::ConfigurationHolder& configuration;
    routing::Quarantine& quarantine;
    NodeMetrics& metrics;
    RandomSource& random;
    const coordination::StoreClock& store_clock;
    // Of the instance's link, which also carries the answers to clients.
    mesh::LinkBacklog& backlog;
    // Orders to roll out a version; nullptr if the deployment has none.
    const rollout::OrderBook* orders = nullptr;
    // Where outcomes of requests under an order are counted; set with `orders`.
    rollout::OutcomeCollector* outcomes = nullptr;
    // Until when versions on trial may get requests; set with `orders`.
    const rollout::TrialLeases* trial_leases = nullptr;
  };

  Ingress(const Parts& parts, const Options& options);
  ~Ingress();

  // Handles a request of a client.
  void Handle(const std::shared_ptr<HttpRequest>& request, HttpReply reply);

  // Takes over ranks and weights of the configuration in force.
  void OnConfigurationChanged();

  // Whether a request may run more than once. One without route is not run at
  // all.
  bool IsRepeatable(const HttpRequest& request) const;

  // What other nodes told of their backend servers.
  mesh::Placement& placement() { return placement_; }

  // From now on, organisations are held to their limits. `limits` outlives the
  // ingress, or is taken away by nullptr.
  void set_limits(Limits* limits) { limits_ = limits; }

  void set_service(std::string service) { service_ = std::move(service); }

  // The node stops: from now on `policy` decides which requests are taken, and
  // all are answered before the end.
  void BeginStop(const mesh::StopPolicy& policy);

  // Requests that wait for their answers.
  std::size_t request_count() const { return exchanges_.size(); }
  bool is_idle() const { return exchanges_.empty(); }

 private:
  struct Exchange;
  using ExchangePointer = std::shared_ptr<Exchange>;

  // What was learnt of a route's requests.
  struct RouteStatistics {
    // About the last 200 runs, over all backend servers.
    static constexpr int kWindow = 200;
    mesh::ExponentialAverage run_us{kWindow};
    mesh::ExponentialAverage answer_bytes{kWindow};
  };

  // Answers a request that its key does not allow; returns whether it did.
  // `organisation` is the holder of the key, if any.
  bool RefuseKey(HttpReply& reply, const platform::ClientRequestHead& head,
                 const mesh::Route& route,
                 const mesh::Organisation* organisation);
  // Asks whether a request is within the limit of its organisation, and goes on
  // with it once that is known.
  void AskLimit(const ExchangePointer& exchange);
  void OnLimitDecision(const ExchangePointer& exchange,
                       const Limits::Stock::Decision& decision);
  // The request does not go on: stops waiting, or hands its token back if it
  // certainly did not run.
  void EndLimit(const ExchangePointer& exchange);
  void StartDeadlineTimer(const ExchangePointer& exchange);
  // Chooses a node with regard to an order to roll out a version.
  // The earliest that the store's clock may show, in milliseconds; 0 before it
  // is known.
  std::uint64_t StoreTime() const;
  mesh::Placement::Decision Place(mesh::Placement::Request request,
                                  const std::vector<std::string>& tried);
  void Attempt(const ExchangePointer& exchange);
  void Send(const ExchangePointer& exchange, const std::string& node);
  void OnOutcome(const ExchangePointer& exchange, mesh::Outcome outcome);
  // Counts the outcome of the attempt that ended, if it was sent under an
  // order; nothing if there was none.
  void CountOutcome(const ExchangePointer& exchange,
                    const mesh::Outcome& outcome);
  void OnDeadline(const ExchangePointer& exchange);
  void OnClientLeft(const ExchangePointer& exchange);
  void Deliver(const ExchangePointer& exchange, mesh::Completed completed);
  void GiveUp(const ExchangePointer& exchange, mesh::Reason reason,
              Duration until_room);
  // Answers that the request was not run.
  void Refuse(HttpReply& reply, std::string_view request_id, Duration after,
              int status = 503);
  void CancelAttempt(const ExchangePointer& exchange);
  void Finish(const ExchangePointer& exchange);
  bool is_configuration_fresh() const;

  const Parts parts_;
  const std::string node_;
  const std::string data_centre_;
  std::string service_;
  std::optional<mesh::StopPolicy> stop_;
  mesh::Placement placement_;
  const bool bounds_links_;
  rollout::Exposure exposure_;
  mesh::RetryAllowance retries_;
  mesh::ServiceChoice service_choice_;
  mesh::OrganisationPolicy organisation_policy_;
  organisations::ShareTracker shares_;
  const std::optional<organisations::KeyTrust> key_trust_;
  const Duration denial_age_;
  Limits* limits_ = nullptr;
  // References to entries stay valid.
  std::map<std::string, RouteStatistics, std::less<>> statistics_;
  std::unordered_set<ExchangePointer> exchanges_;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_INGRESS_H_
