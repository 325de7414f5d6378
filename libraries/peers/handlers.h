// What a node does with the messages of its peers.

#ifndef OLEANDERTIDE_PEERS_HANDLERS_H_
#define OLEANDERTIDE_PEERS_HANDLERS_H_

#include <cstdint>
#include <optional>
#include <stop_token>
#include <string>
#include <string_view>

#include "calls/call.h"
#include "idempotency/claim.h"
#include "peers/gossip.h"

namespace oleandertide::peers {

// Implemented by the node. The methods run on worker threads, several at a
// time; those for calls and claims may block.
class Handlers {
 public:
  virtual ~Handlers() = default;

  // Runs a call on the local backend server. `cancelled` is requested when the
  // ingress no longer waits.
  virtual calls::CallResult HandleCall(const calls::ForwardedRequest& request,
                                       std::stop_token cancelled) = 0;

  virtual GossipReply HandleGossip(const GossipRequest& request) = 0;
  virtual distribution::SyncReply HandleSyncRequest(
      const distribution::SyncRequest& request) = 0;

  // The document of this version, if the node holds it.
  virtual std::optional<std::string> HandleFetch(
      const distribution::Version& version) = 0;

  virtual idempotency::ClaimResult HandleClaim(
      const idempotency::ClaimRequest& request, Duration remaining) = 0;
  virtual void HandleCompletion(const idempotency::Completion& completion) = 0;
  virtual void HandleRelease(const idempotency::Release& release) = 0;

  // Sequence of the configuration on which the node acts.
  virtual std::uint64_t active_sequence() const = 0;
};

}  // namespace oleandertide::peers

#endif  // OLEANDERTIDE_PEERS_HANDLERS_H_
