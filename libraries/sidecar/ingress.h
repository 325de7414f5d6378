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
#include "mesh/placement.h"
#include "mesh/retry_allowance.h"
#include "mesh/service_choice.h"
#include "mesh/stop_policy.h"
#include "organisations/key_trust.h"
#include "platform/http_codec.h"
#include "routing/quarantine.h"
#include "sidecar/event_loop.h"
#include "sidecar/http_server.h"
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
    // See organisations::KeyTrust; without it, keys are honoured as the
    // configuration in force says.
    std::optional<organisations::KeyTrust> key_trust{};
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
  };

  Ingress(const Parts& parts, const Options& options);
  ~Ingress();

  // Handles a request of a client.
  void Handle(const std::shared_ptr<HttpRequest>& request, HttpReply reply);

  // Whether a request may run more than once. One without route is not run at
  // all.
  bool IsRepeatable(const HttpRequest& request) const;

  // What other nodes told of their backend servers.
  mesh::Placement& placement() { return placement_; }

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
  void StartDeadlineTimer(const ExchangePointer& exchange);
  void Attempt(const ExchangePointer& exchange);
  void Send(const ExchangePointer& exchange, const std::string& node);
  void OnOutcome(const ExchangePointer& exchange, mesh::Outcome outcome);
  void OnDeadline(const ExchangePointer& exchange);
  void OnClientLeft(const ExchangePointer& exchange);
  void Deliver(const ExchangePointer& exchange, mesh::Completed completed);
  void GiveUp(const ExchangePointer& exchange, mesh::Reason reason,
              Duration until_room);
  void Refuse(HttpReply& reply, std::string_view request_id, Duration after);
  void CancelAttempt(const ExchangePointer& exchange);
  void Finish(const ExchangePointer& exchange);
  bool is_configuration_fresh() const;

  const Parts parts_;
  const std::string node_;
  const std::string data_centre_;
  std::string service_;
  std::optional<mesh::StopPolicy> stop_;
  mesh::Placement placement_;
  mesh::RetryAllowance retries_;
  mesh::ServiceChoice service_choice_;
  const std::optional<organisations::KeyTrust> key_trust_;
  // References to entries stay valid.
  std::map<std::string, RouteStatistics, std::less<>> statistics_;
  std::unordered_set<ExchangePointer> exchanges_;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_INGRESS_H_
