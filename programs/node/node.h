// One node: the proxy beside a backend server.

#ifndef OLEANDERTIDE_NODE_NODE_H_
#define OLEANDERTIDE_NODE_NODE_H_

#include <memory>
#include <optional>
#include <string>

#include "backend_servers/local_backend_server.h"
#include "calls/call_counters.h"
#include "calls/claim_client.h"
#include "calls/endpoint_directory.h"
#include "calls/ingress.h"
#include "calls/published_standing.h"
#include "calls/receiver.h"
#include "config/node_settings.h"
#include "config/snapshot_holder.h"
#include "http/server.h"
#include "idempotency/blocking_claim_writer.h"
#include "metrics/registry.h"
#include "node/control.h"
#include "node/document_cache.h"
#include "node/job_runner.h"
#include "node/status.h"
#include "peers/event_loop.h"
#include "peers/handlers.h"
#include "peers/peer_client.h"
#include "peers/peer_server.h"
#include "routing/drain.h"
#include "routing/quarantine.h"
#include "store/http_store.h"

namespace oleandertide::node {

// Assembles the packages and owns them all. The methods are called by the main
// thread only.
class Node final : private peers::Handlers {
 public:
  // Binds all listeners and starts all threads. Errors: kUnavailable when a
  // listener cannot be bound, kInvalidArgument for settings that do not fit.
  static Result<std::unique_ptr<Node>> Start(
      const config::NodeSettings& settings);

  // Stops at once; what is in progress ends with unknown outcomes.
  ~Node() override;

  // Records a signal to stop: the first begins the drain, the second ends it.
  void Signal();

  // Drives the drain and looks after the backend server. Call about every
  // 100 ms.
  void Tick();

  // Whether the process may end, and why.
  std::optional<routing::StopCause> stop_cause() const {
    return drain_.stop_cause();
  }

  // Withdraws the node from the members before an orderly end.
  void Leave();

 private:
  explicit Node(const config::NodeSettings& settings);

  Result<void> StartListeners();
  Result<void> StartPeers();
  void StartDecisions(std::uint16_t peer_port);
  membership::Member OwnRecord() const;
  Result<void> Announce(const backend_servers::Announcement& announcement);
  void TickBackendServer(MonotonicTime now);
  StatusReport Report() const;
  std::optional<std::string> ReasonNotReady() const;

  calls::CallResult HandleCall(const calls::ForwardedRequest& request,
                               std::stop_token cancelled) override;
  peers::GossipReply HandleGossip(const peers::GossipRequest& request) override;
  distribution::SyncReply HandleSyncRequest(
      const distribution::SyncRequest& request) override;
  std::optional<std::string> HandleFetch(
      const distribution::Version& version) override;
  idempotency::ClaimResult HandleClaim(const idempotency::ClaimRequest& request,
                                       Duration remaining) override;
  void HandleCompletion(const idempotency::Completion& completion) override;
  void HandleRelease(const idempotency::Release& release) override;
  std::uint64_t active_sequence() const override {
    return snapshots_.sequence();
  }

  const config::NodeSettings settings_;
  std::string address_;  // For peers.
  metrics::Registry metrics_;
  calls::CallCounters counters_;
  config::SnapshotHolder snapshots_;
  DocumentCache documents_;
  calls::PublishedStanding standing_;
  calls::EndpointDirectory endpoints_;
  routing::Quarantine quarantine_;
  backend_servers::LocalBackendServer backend_server_;
  routing::Drain drain_;
  std::atomic<bool> is_started_{false};
  std::atomic<bool> is_draining_{false};
  // When the local backend server announced that it leaves.
  std::optional<MonotonicTime> leaving_since_;
  MonotonicTime next_backend_check_;

  // Destroyed in reverse order: listeners first, then what they use.
  std::unique_ptr<store::HttpStore> store_;
  std::unique_ptr<peers::EventLoop> loop_;
  std::unique_ptr<peers::PeerClient> peer_client_;
  std::unique_ptr<idempotency::BlockingClaimWriter> claim_writer_;
  std::unique_ptr<calls::ClaimClient> claims_;
  std::unique_ptr<calls::Receiver> receiver_;
  std::unique_ptr<calls::Ingress> ingress_;
  std::unique_ptr<Control> control_;
  std::unique_ptr<JobRunner> job_runner_;
  std::unique_ptr<peers::PeerServer> peer_server_;
  std::unique_ptr<http::Server> caller_server_;
  std::unique_ptr<http::Server> announcement_server_;
  std::unique_ptr<http::Server> operators_server_;
};

}  // namespace oleandertide::node

#endif  // OLEANDERTIDE_NODE_NODE_H_
