// Links that this node opened to the others: it sends calls there.

#ifndef OLEANDERTIDE_SIDECAR_LINK_CLIENT_H_
#define OLEANDERTIDE_SIDECAR_LINK_CLIENT_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "mesh/link_backlog.h"
#include "sidecar/call.h"
#include "sidecar/event_loop.h"
#include "sidecar/framed_connection.h"
#include "sidecar/link_codec.h"
#include "sidecar/node_identity.h"
#include "sidecar/timer.h"

namespace oleandertide::sidecar {

// Keeps links to some of the known nodes and opens them again when they are
// lost. Not thread-safe.
class LinkClient {
 public:
  struct Callbacks {
    // The node told its status.
    std::function<void(const NodeIdentity&, const NodeStatus&)> on_status;
    // An answer of the node carried its load.
    std::function<void(const std::string&, const mesh::BackendLoad&)> on_load;
    // The link to the node was lost.
    std::function<void(const std::string&)> on_lost;
    // The node sent what changed in the configuration.
    std::function<void(const mesh::ConfigurationUpdate&)> on_configuration;
    // The node told of another one.
    std::function<void(const NodeIdentity&)> on_member;
    // The node sent a message as coordinator.
    std::function<void(const std::string&, const CoordinationMessage&)>
        on_coordination;
  };

  // `backlog` is that of the instance's link and outlives the client.
  LinkClient(EventLoop& loop, NodeIdentity self, RandomSource& random,
             mesh::LinkBacklog& backlog, Callbacks callbacks);
  ~LinkClient();

  // Sets the account for frames of other nodes, whose large bodies are dropped
  // if it has no room: the outcome of an answer is then unknown. Outlives the
  // client.
  // Precondition: no node has been learnt.
  void set_budget(ByteBudget* budget) { budget_ = budget; }

  // Takes in a node, or new facts of a known one; returns whether there were
  // any.
  bool Learn(const NodeIdentity& node);

  // Sends a call. If the node cannot be reached, or a large body would wait
  // behind too many others, the outcome comes before this returns, as NotRun.
  CallId Send(const std::string& node, const Call& call, OnOutcome on_outcome);

  // The outcome is of no use any more; on_outcome is not called.
  void Cancel(const std::string& node, CallId id);

  // Asks a node for what changed in the configuration since a version.
  void RequestConfiguration(const std::string& node, std::uint64_t version);

  // Keeps a link to this node whatever other links are chosen; empty for none.
  void set_pinned(const std::string& node);

  // Sends a message to the coordinator; returns false if it has no open link.
  bool SendCoordination(const std::string& node,
                        const CoordinationMessage& message);

  // Nodes with an open link.
  std::vector<NodeIdentity> connected() const;

  // Number of known nodes, connected or not.
  std::size_t known_count() const { return peers_.size(); }
  std::size_t known_count(std::string_view data_centre) const;

 private:
  struct PendingCall {
    OnOutcome on_outcome;
    // Value of queued_bytes() before the call: nothing of it was sent while
    // submitted_bytes() is not above.
    std::uint64_t first_byte = 0;
  };
  struct PartialBody {
    std::string bytes;
    ByteCharge charge;
    // A part was dropped for want of memory.
    bool is_incomplete = false;
  };
  struct Peer {
    NodeIdentity identity;
    std::shared_ptr<FramedConnection> connection;
    std::unordered_map<CallId, PendingCall> calls;
    // Last call that the node took before it ended the link, if it did.
    std::optional<CallId> last_taken;
    // Parts of bodies whose answers have not arrived.
    std::unordered_map<CallId, PartialBody> parts;
    std::unique_ptr<Timer> timer;
    Duration retry_interval{};
    bool is_selected = false;
    bool is_connecting = false;
    bool is_open = false;
    bool is_failing = false;
  };

  void ScheduleSelection(Duration delay);
  void Select();
  void Connect(Peer& peer);
  void OnConnected(Peer& peer, Tcp::socket socket);
  void ScheduleReconnect(Peer& peer);
  void OnFrame(Peer& peer, wire::Frame::Reader frame, const ReceivedBody& body);
  void OnBodyPart(Peer& peer, CallId id, const ReceivedBody& body);
  void OnAnswer(Peer& peer, wire::Answer::Reader answer,
                const ReceivedBody& body);
  void OnClosed(Peer& peer);
  void CheckSilence();

  EventLoop& loop_;
  const NodeIdentity self_;
  RandomSource& random_;
  mesh::LinkBacklog& backlog_;
  Callbacks callbacks_;
  ByteBudget* budget_ = nullptr;
  // Never erased: pointers to entries stay valid.
  std::map<std::string, std::unique_ptr<Peer>, std::less<>> peers_;
  std::string pinned_;
  CallId next_id_ = 1;
  Timer silence_timer_;
  Timer selection_timer_;
  bool is_selection_due_ = false;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_LINK_CLIENT_H_
