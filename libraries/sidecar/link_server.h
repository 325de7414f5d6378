// Links that other nodes opened to this one: they send calls here.

#ifndef OLEANDERTIDE_SIDECAR_LINK_SERVER_H_
#define OLEANDERTIDE_SIDECAR_LINK_SERVER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/address.h"
#include "core/result.h"
#include "core/time.h"
#include "mesh/bulk_schedule.h"
#include "mesh/link_backlog.h"
#include "sidecar/byte_budget.h"
#include "sidecar/call.h"
#include "sidecar/event_loop.h"
#include "sidecar/framed_connection.h"
#include "sidecar/link_codec.h"
#include "sidecar/node_identity.h"
#include "sidecar/receiver.h"
#include "sidecar/timer.h"

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
    // A node sent a report to the coordinator.
    std::function<void(const std::string&, const CoordinationMessage&)>
        on_coordination;
  };

  // Listens on `address` as a node of `data_centre`; `backlog` is that of the
  // instance's link and outlives the server.
  static Result<std::unique_ptr<LinkServer>> Create(
      EventLoop& loop, const Address& address, std::string data_centre,
      Receiver& receiver, mesh::LinkBacklog& backlog, Callbacks callbacks);
  ~LinkServer();

  // Sets the account for frames of nodes that have said who they are, and for
  // their calls, which are refused as not run if it has no room. Outlives the
  // server. Precondition: called before the loop runs the server.
  void set_budget(ByteBudget* budget) { budget_ = budget; }

  // Sends the status to all links now.
  void Broadcast();

  // Time that the instance's link needs for what it was given and for the
  // answers to calls that are in progress.
  Duration link_wait() const;

  // Tells all links of another node.
  void Forward(const NodeIdentity& node);

  // Sends a message of the coordinator; returns false if the node has no link
  // to this one.
  bool SendCoordination(const std::string& node,
                        const CoordinationMessage& message);

  // Names of the nodes that opened a link.
  std::vector<std::string> session_nodes() const;

  // Whether an answer or another frame has not been handed to the system in
  // full.
  bool has_unsent_frames() const;

  // Takes no further links and calls, and tells each node which of its calls
  // were taken. The nodes then close their links.
  void Shutdown();

  // Whether all links are closed.
  bool is_shut_down() const { return is_shutting_down_ && sessions_.empty(); }

 private:
  struct PendingCall {
    // Id at the receiver.
    CallId local = 0;
    std::size_t expected_bytes = 0;
  };
  struct Session {
    std::shared_ptr<FramedConnection> connection;
    // Name of the other node; empty until it has told it.
    std::string node;
    bool is_in_own_data_centre = false;
    MonotonicTime accepted_at;
    // When the node was last told the status.
    MonotonicTime told_at;
    // By the id that the other node gave.
    std::unordered_map<CallId, PendingCall> calls;
    // Ids grow; 0 if no call has come.
    CallId last_taken = 0;
  };
  // A large answer that is sent in parts.
  struct BulkAnswer {
    std::weak_ptr<Session> session;
    CallId id = 0;
    mesh::Outcome outcome;
    ByteCharge charge;
    std::size_t sent = 0;
  };

  LinkServer(EventLoop& loop, Tcp::acceptor acceptor, std::string data_centre,
             Receiver& receiver, mesh::LinkBacklog& backlog,
             Callbacks callbacks);
  void Accept();
  void ScheduleBroadcast();
  // Closes one of too many connections that have not said whose they are.
  void CloseOldestUnknown();
  // Sends the status to the links for which it is due.
  void SendDueStatus();
  void SendStatus(const NodeStatus& status,
                  const std::vector<std::shared_ptr<Session>>& sessions);
  void OnFrame(const std::shared_ptr<Session>& session,
               wire::Frame::Reader frame, const ReceivedBody& body);
  void OnCall(const std::shared_ptr<Session>& session, wire::Call::Reader call,
              const ReceivedBody& body);
  // Returns the body of a call for keeping; nothing if there is no memory.
  std::optional<SharedBody> KeepBody(const ReceivedBody& body);
  void OnClosed(const std::shared_ptr<Session>& session);
  void ForgetCall(Session& session, CallId id);
  void SendAnswer(const std::shared_ptr<Session>& session, CallId id,
                  mesh::Outcome outcome);
  // Ends the answer to a call if it has not been sent in full.
  void DropAnswer(const std::shared_ptr<Session>& session, CallId id);
  void SendParts();
  void SendPart(mesh::BulkSchedule::Ticket ticket);
  mesh::BackendLoad MakeLoad() const;

  Tcp::acceptor acceptor_;
  const std::string data_centre_;
  Timer broadcast_timer_;
  Timer accept_timer_;
  Receiver& receiver_;
  mesh::LinkBacklog& backlog_;
  mesh::BulkSchedule schedule_;
  // Large answers, by their tickets in the schedule.
  std::map<mesh::BulkSchedule::Ticket, BulkAnswer> bulk_;
  mesh::BulkSchedule::Ticket next_ticket_ = 1;
  Timer part_timer_;
  bool is_part_due_ = false;
  // Expected bytes of the answers to calls in progress.
  std::size_t promised_bytes_ = 0;
  Callbacks callbacks_;
  ByteBudget* budget_ = nullptr;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  bool is_shutting_down_ = false;
  // What nodes of the own data centre were last told.
  mesh::BackendLoad announced_load_;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_LINK_SERVER_H_
