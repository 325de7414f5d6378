// Accepts connections of other nodes.

#ifndef OLEANDERTIDE_PEERS_PEER_SERVER_H_
#define OLEANDERTIDE_PEERS_PEER_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "core/address.h"
#include "core/result.h"
#include "core/size.h"
#include "peers/event_loop.h"
#include "peers/handlers.h"
#include "peers/traffic.h"

namespace oleandertide::peers {

struct PeerServerOptions {
  // Connections beyond this number are closed at once.
  std::size_t maximum_connections = 2000;
  // Largest message that is read, in bytes. A larger one costs its connection.
  std::size_t maximum_message_bytes = 4 * kMebibyte;
  // Threads for calls, which block while the backend server works.
  std::size_t call_threads = 160;
  // Threads for the other messages, so that calls cannot delay them.
  std::size_t control_threads = 4;
};

// Serves the Peer interface. Thread-safe.
class PeerServer {
 public:
  // Listens on `address` (port 0: any) and serves until destroyed. `loop` and
  // `handlers` must outlive the server. Errors: kInvalidArgument, kUnavailable
  // when the address cannot be bound.
  static Result<std::unique_ptr<PeerServer>> Start(EventLoop& loop,
                                                   Handlers& handlers,
                                                   const Address& address,
                                                   PeerServerOptions options);

  // Closes all connections; calls in progress lose their answers.
  ~PeerServer();

  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // Traffic of the open connections since each was accepted.
  Traffic traffic();

  // The port that is listened on.
  std::uint16_t port() const;

 private:
  class Impl;
  explicit PeerServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace oleandertide::peers

#endif  // OLEANDERTIDE_PEERS_PEER_SERVER_H_
