// The node's part in the coordination of the fleet.

#ifndef OLEANDERTIDE_SIDECAR_COORDINATION_H_
#define OLEANDERTIDE_SIDECAR_COORDINATION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/election.h"
#include "coordination/store_clock.h"
#include "core/random.h"
#include "core/time.h"
#include "mesh/reader_election.h"
#include "sidecar/event_loop.h"
#include "sidecar/link_client.h"
#include "sidecar/link_server.h"
#include "sidecar/node_identity.h"
#include "sidecar/node_metrics.h"
#include "sidecar/store_client.h"
#include "sidecar/timer.h"

namespace oleandertide::sidecar {

// What nodes and the coordinator talk about. The value is part of the protocol.
enum class CoordinationSubject : std::uint8_t {
  // Limits of organisations.
  kLimits = 0,
  kRollouts = 1,
};

inline constexpr std::size_t kCoordinationSubjectCount = 2;

// Takes part in the election of the coordinator, keeps a link to it, and
// carries the messages between it and the other nodes. Messages may be lost and
// carry the term of the coordinator: those of another term are dropped. The
// coordinator talks to itself in the same way, without a link. Not thread-safe.
class Coordination {
 public:
  struct Handlers {
    // On the coordinator: another node, or this one, sent a report.
    std::function<void(const std::string& node, std::string_view payload)>
        on_report;
    // The coordinator sent a message.
    std::function<void(std::string_view payload)> on_message;
    // Another coordinator or term is known, or this node became the coordinator
    // or ceased to be it.
    std::function<void()> on_changed;
  };

  struct Parts {
    EventLoop& loop;
    StoreClient& store;
    LinkClient& links;
    RandomSource& random;
    coordination::StoreClock& clock;
  };

  // `incarnation` tells the lives of this node's process apart. At the first
  // start of the whole system nobody can hold the lease yet.
  Coordination(const Parts& parts, NodeIdentity self, std::string incarnation,
               bool is_first_start);

  // Registers the handlers of a subject. Precondition: called before Start,
  // once for each subject.
  void Register(CoordinationSubject subject, Handlers handlers);

  // Takes part from now on. Precondition: `server` outlives this object.
  void Start(LinkServer& server);

  // Gives up the lease and takes no part any more; messages still pass.
  void Stop();

  // Sends a report to the coordinator. Returns false if there is no link to it,
  // or no coordinator.
  bool Report(CoordinationSubject subject, std::string_view payload);

  // Sends a message to a node. Precondition: is_coordinator(). Returns false if
  // the node has no link to this one.
  bool Send(const std::string& node, CoordinationSubject subject,
            std::string_view payload);

  // Names of the nodes that Send reaches. Precondition: is_coordinator().
  std::vector<std::string> reachable_nodes() const;

  // Whether this node is the coordinator now.
  bool is_coordinator() const;

  // The coordinator as this node knows it, and its term; the lease may have
  // ended.
  const coordination::Holder& holder() const { return election_.holder(); }

  // Until when, by the store's clock, rights of earlier terms may be in use.
  // Precondition: is_coordinator().
  std::uint64_t earlier_rights_end_ms() const {
    return election_.own_row()->earlier_rights_end_ms;
  }

  // Whether the node takes part, from Start to Stop.
  bool is_active() const { return is_active_; }

  // Another node told whom it knows as coordinator.
  void OnHolderTold(const coordination::Holder& holder);

  // A message arrived over a link from `node`; the first over a link that this
  // node opened, the second over one that the other node opened.
  void OnMessage(const std::string& node, const CoordinationMessage& message);
  void OnReport(const std::string& node, const CoordinationMessage& message);

 private:
  void Tick();
  void Perform(const coordination::Election::Effect& effect);
  // Time that this node leaves to better suited ones: those with wider links.
  Duration ClaimDelay() const;
  void CheckChange();
  // A message under the term that is known.
  CoordinationMessage MakeMessage(CoordinationSubject subject,
                                  std::string_view payload) const;
  Handlers* Find(std::uint8_t subject);

  const Parts parts_;
  const NodeIdentity self_;
  coordination::Election election_;
  LinkServer* server_ = nullptr;
  std::array<Handlers, kCoordinationSubjectCount> handlers_;
  Timer timer_;
  const BootTime first_tick_at_;
  bool is_active_ = false;
  // What on_changed was last called for.
  std::uint64_t told_term_ = 0;
  std::string told_node_;
  bool was_coordinator_ = false;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_COORDINATION_H_
