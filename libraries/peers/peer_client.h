// Connections to other nodes.

#ifndef OLEANDERTIDE_PEERS_PEER_CLIENT_H_
#define OLEANDERTIDE_PEERS_PEER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stop_token>
#include <string>
#include <string_view>

#include "calls/call.h"
#include "core/result.h"
#include "core/size.h"
#include "core/time.h"
#include "idempotency/claim.h"
#include "peers/event_loop.h"
#include "peers/gossip.h"
#include "peers/traffic.h"

namespace oleandertide::peers {

struct PeerClientOptions {
  // Time that a connection may take to be established.
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Time that an exchange, a fetch or a completion may take.
  Duration control_timeout = std::chrono::seconds(1);
  // Delay before the second attempt to connect; it doubles up to the maximum,
  // and each is shortened by a random share of up to one half.
  Duration first_reconnect_delay = std::chrono::milliseconds(100);
  Duration maximum_reconnect_delay = std::chrono::seconds(5);
  // Largest message that is read, in bytes.
  std::size_t maximum_message_bytes = 4 * kMebibyte;
};

// One persistent connection to each node that was ever called, established on
// demand and again after failures. Thread-safe. Peers are named by "IP:port".
class PeerClient {
 public:
  // `loop` must outlive the client. `seed` feeds the jitter.
  PeerClient(EventLoop& loop, PeerClientOptions options, std::uint64_t seed);

  // Abandons what is in progress. Calls of other threads must have returned.
  ~PeerClient();

  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Forwards a call and blocks until its result, its deadline or its
  // cancellation. Refusals of the client itself: kConnectFailed (not run),
  // kConnectionLost, kDeadlineInFlight and kCallerGone (unknown).
  calls::CallResult Call(std::string_view peer,
                         const calls::ForwardedRequest& request,
                         std::stop_token cancelled);

  // Start an exchange or a synchronisation. `done` runs on the event loop and
  // must not block. Errors: kUnavailable.
  void Exchange(std::string_view peer, const GossipRequest& request,
                std::function<void(Result<GossipReply>)> done);
  void Synchronise(std::string_view peer,
                   const distribution::SyncRequest& request,
                   std::function<void(Result<distribution::SyncReply>)> done);

  // Fetches a document. Errors: kNotFound, kUnavailable.
  Result<std::string> FetchDocument(std::string_view peer,
                                    const distribution::Version& version);

  // Claims a key at a claim writer. Errors: kUnavailable when the claim was
  // certainly not sent, kOutcomeUnknown otherwise.
  Result<idempotency::ClaimResult> Claim(
      std::string_view peer, const idempotency::ClaimRequest& request,
      Duration remaining);

  // Sends without waiting for the result.
  void Complete(std::string_view peer,
                const idempotency::Completion& completion);
  void Release(std::string_view peer, const idempotency::Release& release);

  // Traffic of the open connections since each was established.
  Traffic traffic();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleandertide::peers

#endif  // OLEANDERTIDE_PEERS_PEER_CLIENT_H_
