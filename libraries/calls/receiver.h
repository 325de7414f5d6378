// The receiving end of a call: the node beside the backend server.

#ifndef OLEANDERTIDE_CALLS_RECEIVER_H_
#define OLEANDERTIDE_CALLS_RECEIVER_H_

#include <atomic>
#include <memory>
#include <stop_token>

#include "backend_servers/local_backend_server.h"
#include "calls/call.h"
#include "calls/call_counters.h"
#include "calls/claim_client.h"
#include "calls/published_standing.h"
#include "config/snapshot_holder.h"
#include "routing/quarantine.h"

namespace oleandertide::calls {

// Decides whether a request may run on the local backend server, and runs it.
// Only the receiver can refuse as not run with certainty, because it alone
// hands requests over. Thread-safe; all references must outlive it.
class Receiver {
 public:
  struct Parts {
    const config::SnapshotHolder& snapshots;
    const PublishedStanding& standing;
    backend_servers::LocalBackendServer& backend_server;
    ClaimClient& claims;
    routing::Quarantine& quarantine;
    CallCounters& counters;
  };

  explicit Receiver(Parts parts) : parts_(parts) {}

  // Blocks until the request has ended. Order: fence by configuration,
  // quarantine, admission, claim, fence again (the process may have been
  // paused while it waited), hand-over.
  CallResult Handle(const ForwardedRequest& request, std::stop_token cancelled);

  // Refuses new work with kDraining from now on.
  void StopAccepting() { is_accepting_ = false; }

  // Requests that are queued or running here.
  int in_flight() const { return in_flight_; }

 private:
  class InFlight;

  CallResult Run(const ForwardedRequest& request, std::stop_token cancelled);
  CallResult RunAdmitted(backend_servers::Session& session,
                         const ForwardedRequest& request,
                         std::stop_token cancelled);
  CallResult RunClaimed(backend_servers::Session& session,
                        const ForwardedRequest& request,
                        std::stop_token cancelled);
  CallResult HandOver(backend_servers::Session& session,
                      const ForwardedRequest& request,
                      std::stop_token cancelled);
  std::optional<routing::Reason> Fence(const ForwardedRequest& request) const;
  void ReportDeath(backend_servers::Session& session);

  Parts parts_;
  std::atomic<bool> is_accepting_{true};
  std::atomic<int> in_flight_{0};
};

}  // namespace oleandertide::calls

#endif  // OLEANDERTIDE_CALLS_RECEIVER_H_
