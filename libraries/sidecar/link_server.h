// Links that other nodes opened to this one: they send calls here.

#ifndef OLEANDERTIDE_SIDECAR_LINK_SERVER_H_
#define OLEANDERTIDE_SIDECAR_LINK_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "core/address.h"
#include "core/result.h"
#include "core/time.h"
#include "mesh/link_backlog.h"
#include "sidecar/call.h"
#include "sidecar/event_loop.h"
#include "sidecar/framed_connection.h"
#include "sidecar/link_codec.h"
#include "sidecar/node_identity.h"
#include "sidecar/receiver.h"

namespace oleandertide::sidecar {

// Passes calls to the receiver and answers back, and tells all that opened a
// link the status of this node. A call ends with its link. Not thread-safe.
class LinkServer {
 public:
  struct Callbacks {
    // A node opened a link.
    std::function<void(const NodeIdentity&)> on_hello;
    // Returns what to tell other nodes.
    std::function<NodeStatus()> make_status;
    // Returns what a node with this version needs; nothing if this node holds
    // no configuration.
    std::function<std::optional<mesh::ConfigurationUpdate>(std::uint64_t)>
        make_update;
  };

  // Listens on `address`; `link_mbps` is the bandwidth of the instance's link.
  static Result<std::unique_ptr<LinkServer>> Create(EventLoop& loop,
                                                    const Address& address,
                                                    Receiver& receiver,
                                                    double link_mbps,
                                                    Callbacks callbacks);
  ~LinkServer();

  // Sends the status to all links now.
  void Broadcast();

  // Time for which an answer waits on the instance's link.
  Duration link_wait() const { return backlog_.Wait(MonotonicClock::now()); }

  // Tells all links of another node.
  void Forward(const NodeIdentity& node);

 private:
  struct Session {
    std::shared_ptr<FramedConnection> connection;
    // By the id that the other node gave: the id at the receiver.
    std::unordered_map<CallId, CallId> calls;
  };

  LinkServer(EventLoop& loop, Tcp::acceptor acceptor, Receiver& receiver,
             double link_mbps, Callbacks callbacks);
  void Accept();
  void ScheduleBroadcast();
  void OnFrame(const std::shared_ptr<Session>& session,
               wire::Frame::Reader frame, std::string_view body);
  void OnCall(const std::shared_ptr<Session>& session, wire::Call::Reader call,
              std::string_view body);
  void OnClosed(const std::shared_ptr<Session>& session);
  void SendAnswer(FramedConnection& connection, CallId id,
                  const mesh::Outcome& outcome);
  mesh::BackendLoad MakeLoad() const;

  Tcp::acceptor acceptor_;
  Timer broadcast_timer_;
  Timer accept_timer_;
  Receiver& receiver_;
  mesh::LinkBacklog backlog_;
  Callbacks callbacks_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  mesh::BackendLoad announced_load_;
  MonotonicTime announced_at_;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_LINK_SERVER_H_
