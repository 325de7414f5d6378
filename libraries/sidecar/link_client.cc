#include "sidecar/link_client.h"

#include <capnp/message.h>

#include <algorithm>
#include <utility>

#include "core/address.h"
#include "logging/log.h"
#include "mesh/peer_selection.h"

namespace oleandertide::sidecar {
namespace {

using logging::Level;

// Nodes tell their status three times a second; a link without any for this
// long is taken as lost.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(1200);
constexpr Duration kSilenceCheckInterval = std::chrono::milliseconds(100);
// A check that is later than this shows that the node itself stood still: what
// arrived meanwhile has not been read, so silence means nothing yet.
constexpr Duration kLateCheck = std::chrono::milliseconds(300);

// Nodes that are learnt together are considered together.
constexpr Duration kSelectionDelay = std::chrono::milliseconds(10);
// Failing nodes are replaced by others at this interval.
constexpr Duration kSelectionInterval = std::chrono::milliseconds(500);

constexpr Duration kConnectLimit = std::chrono::milliseconds(700);

// Time until a lost link is opened again: short at first, since a restarted
// process is back within a second, and longer for a node that stays away.
constexpr Duration kFirstRetryInterval = std::chrono::milliseconds(150);
constexpr Duration kLastRetryInterval = std::chrono::seconds(1);

// Large bodies that wait for a link would miss their deadlines, and hold their
// memory until then.
constexpr std::size_t kMaxUnsentBytes = std::size_t{16} << 20U;
constexpr std::size_t kMinLargeBody = std::size_t{64} << 10U;

}  // namespace

LinkClient::LinkClient(EventLoop& loop, NodeIdentity self, RandomSource& random,
                       mesh::LinkBacklog& backlog, Callbacks callbacks)
    : loop_(loop),
      self_(std::move(self)),
      random_(random),
      backlog_(backlog),
      callbacks_(std::move(callbacks)),
      silence_timer_(loop),
      selection_timer_(loop) {
  CheckSilence();
  ScheduleSelection(kSelectionInterval);
}

LinkClient::~LinkClient() {
  callbacks_ = {};
  for (auto& [name, peer] : peers_) {
    peer->calls.clear();
    if (peer->connection) peer->connection->Close();
  }
}

bool LinkClient::Learn(const NodeIdentity& node) {
  if (node.name == self_.name) return false;
  auto& peer = peers_[node.name];
  if (!peer) {
    peer = std::make_unique<Peer>();
    peer->timer = std::make_unique<Timer>(loop_);
  } else if (peer->identity == node) {
    // The node lives, so a retry need not wait.
    if (peer->is_selected && !peer->connection && !peer->is_connecting) {
      Connect(*peer);
    }
    return false;
  }
  const bool is_moved =
      !peer->identity.name.empty() && peer->identity.address != node.address;
  peer->identity = node;
  logging::Log(Level::kInfo, "link", is_moved ? "node moved" : "node learnt",
               {{"node", node.name}, {"address", node.address.ToString()}});
  if (is_moved && peer->connection) peer->connection->Close();
  if (!is_selection_due_) {
    is_selection_due_ = true;
    ScheduleSelection(kSelectionDelay);
  }
  return true;
}

void LinkClient::ScheduleSelection(Duration delay) {
  selection_timer_.Start(delay, [this] {
    is_selection_due_ = false;
    Select();
    ScheduleSelection(kSelectionInterval);
  });
}

void LinkClient::Select() {
  std::vector<mesh::PeerCandidate> candidates;
  for (const auto& [name, peer] : peers_) {
    candidates.push_back({.name = name,
                          .data_centre = peer->identity.data_centre,
                          .service = peer->identity.service,
                          .link_mbps = peer->identity.link_mbps,
                          .is_failing = peer->is_failing});
  }
  for (auto& [name, peer] : peers_) peer->is_selected = false;
  std::vector<std::string> selected = mesh::SelectPeers(
      self_.name, self_.data_centre, candidates, mesh::PeerLimits{});
  if (peers_.contains(pinned_)) selected.push_back(pinned_);
  for (const std::string& name : selected) {
    Peer& peer = *peers_.find(name)->second;
    peer.is_selected = true;
    // A failing node is tried again by its timer.
    if (!peer.connection && !peer.is_connecting && !peer.is_failing) {
      Connect(peer);
    }
  }
  for (auto& [name, peer] : peers_) {
    if (!peer->is_selected && peer->connection && peer->calls.empty()) {
      peer->connection->Close();
    }
  }
}

void LinkClient::Connect(Peer& peer) {
  const auto endpoint = ToEndpoint(peer.identity.address);
  if (!endpoint) {
    logging::Log(Level::kError, "link", "address cannot be used",
                 {{"node", peer.identity.name},
                  {"address", peer.identity.address.ToString()}});
    // Other nodes take its place among the links meanwhile.
    peer.is_failing = true;
    ScheduleReconnect(peer);
    return;
  }
  peer.is_connecting = true;
  auto socket = std::make_shared<Tcp::socket>(loop_);
  peer.timer->Start(kConnectLimit, [socket] {
    boost::system::error_code ignored;
    socket->close(ignored);
  });
  socket->async_connect(
      endpoint.value(),
      [this, &peer, socket](const boost::system::error_code& error) {
        peer.is_connecting = false;
        peer.timer->Cancel();
        if (error || !socket->is_open()) {
          peer.is_failing = true;
          ScheduleReconnect(peer);
          return;
        }
        OnConnected(peer, std::move(*socket));
      });
}

void LinkClient::OnConnected(Peer& peer, Tcp::socket socket) {
  peer.connection = std::make_shared<FramedConnection>(std::move(socket));
  peer.connection->set_budget(budget_);
  peer.connection->set_on_queued([this](std::size_t bytes) {
    backlog_.Add(MonotonicClock::now(), bytes);
  });
  peer.connection->Start(
      [this, &peer](wire::Frame::Reader frame, const ReceivedBody& body) {
        OnFrame(peer, frame, body);
      },
      [this, &peer] { OnClosed(peer); });
  capnp::MallocMessageBuilder message;
  Encode(self_, message.initRoot<wire::Frame>().initHello());
  peer.connection->Send(message);
}

void LinkClient::ScheduleReconnect(Peer& peer) {
  peer.retry_interval = std::clamp(peer.retry_interval * 2, kFirstRetryInterval,
                                   kLastRetryInterval);
  const Duration delay =
      random_.Between(peer.retry_interval / 2, peer.retry_interval);
  peer.timer->Start(delay, [this, &peer] {
    if (!peer.is_selected) return;
    if (!peer.connection && !peer.is_connecting) Connect(peer);
  });
}

void LinkClient::OnFrame(Peer& peer, wire::Frame::Reader frame,
                         const ReceivedBody& body) {
  switch (frame.which()) {
    case wire::Frame::STATUS:
      if (!peer.is_open) {
        peer.is_open = true;
        peer.is_failing = false;
        peer.retry_interval = Duration::zero();
        logging::Log(Level::kInfo, "link", "opened",
                     {{"node", peer.identity.name}});
      }
      peer.connection->set_packs(frame.getStatus().getAcceptsPacked());
      callbacks_.on_status(peer.identity, Decode(frame.getStatus()));
      return;
    case wire::Frame::ANSWER:
      OnAnswer(peer, frame.getAnswer(), body);
      return;
    case wire::Frame::BODY_PART:
      OnBodyPart(peer, frame.getBodyPart().getId(), body);
      return;
    case wire::Frame::GOODBYE:
      peer.last_taken = frame.getGoodbye();
      peer.connection->Close();
      return;
    case wire::Frame::CONFIGURATION:
      callbacks_.on_configuration(Decode(frame.getConfiguration()));
      return;
    case wire::Frame::COORDINATION:
      if (callbacks_.on_coordination) {
        callbacks_.on_coordination(peer.identity.name,
                                   Decode(frame.getCoordination()));
      }
      return;
    case wire::Frame::MEMBERS:
      for (const auto member : frame.getMembers().getMembers()) {
        if (const auto node = Decode(member)) {
          callbacks_.on_member(node.value());
        } else {
          logging::Log(Level::kWarning, "link",
                       "told of a node without address",
                       {{"by", peer.identity.name}});
        }
      }
      return;
    default:
      return;
  }
}

void LinkClient::OnBodyPart(Peer& peer, CallId id, const ReceivedBody& body) {
  if (!peer.calls.contains(id)) return;
  PartialBody& partial = peer.parts[id];
  partial.is_incomplete |= body.is_dropped();
  partial.bytes.append(body.view());
  if (budget_ == nullptr) return;
  if (partial.charge.bytes() == 0) {
    partial.charge = budget_->ForceCharge(ByteHolder::kLinks, 0);
  }
  partial.charge.Resize(partial.bytes.capacity());
}

void LinkClient::OnAnswer(Peer& peer, wire::Answer::Reader answer,
                          const ReceivedBody& body) {
  callbacks_.on_load(peer.identity.name, Decode(answer.getLoad()));
  auto call = peer.calls.extract(answer.getId());
  auto parts = peer.parts.extract(answer.getId());
  if (call.empty()) return;
  if (body.is_dropped() || (!parts.empty() && parts.mapped().is_incomplete)) {
    call.mapped().on_outcome(mesh::Unknown{mesh::Reason::kAnswerUnusable});
    return;
  }
  std::string bytes;
  if (!parts.empty()) bytes = std::move(parts.mapped().bytes);
  bytes.append(body.view());
  call.mapped().on_outcome(Decode(answer, std::move(bytes)));
}

void LinkClient::OnClosed(Peer& peer) {
  const std::uint64_t submitted = peer.connection->submitted_bytes();
  peer.connection = nullptr;
  auto calls = std::exchange(peer.calls, {});
  const auto last_taken = std::exchange(peer.last_taken, std::nullopt);
  peer.parts.clear();
  if (peer.is_selected) peer.is_failing = true;
  if (std::exchange(peer.is_open, false)) {
    logging::Log(last_taken ? Level::kInfo : Level::kWarning, "link",
                 last_taken ? "ended by the other node" : "lost",
                 {{"node", peer.identity.name}, {"calls", calls.size()}});
  }
  ScheduleReconnect(peer);
  if (callbacks_.on_lost) callbacks_.on_lost(peer.identity.name);
  for (auto& [id, call] : calls) {
    if (last_taken && id > *last_taken) {
      call.on_outcome(mesh::NotRun{mesh::Reason::kStopping});
    } else if (submitted <= call.first_byte) {
      call.on_outcome(mesh::NotRun{mesh::Reason::kLinkLost});
    } else {
      call.on_outcome(mesh::Unknown{mesh::Reason::kLinkLost});
    }
  }
}

CallId LinkClient::Send(const std::string& node, const Call& call,
                        OnOutcome on_outcome) {
  const CallId id = next_id_++;
  const auto found = peers_.find(node);
  if (found == peers_.end() || !found->second->is_open) {
    on_outcome(mesh::NotRun{mesh::Reason::kLinkLost});
    return id;
  }
  Peer& peer = *found->second;
  if (call.body.size() > kMinLargeBody &&
      peer.connection->unsent_bytes() > kMaxUnsentBytes) {
    on_outcome(mesh::NotRun{mesh::Reason::kNoRoom});
    return id;
  }
  peer.calls.emplace(
      id, PendingCall{std::move(on_outcome), peer.connection->queued_bytes()});
  capnp::MallocMessageBuilder message;
  Encode(id, call, message.initRoot<wire::Frame>().initCall());
  peer.connection->Send(message, call.body);
  return id;
}

void LinkClient::Cancel(const std::string& node, CallId id) {
  const auto found = peers_.find(node);
  if (found == peers_.end()) return;
  Peer& peer = *found->second;
  peer.parts.erase(id);
  if (peer.calls.erase(id) == 0 || !peer.connection) return;
  capnp::MallocMessageBuilder message;
  message.initRoot<wire::Frame>().initCancel().setId(id);
  peer.connection->Send(message);
}

void LinkClient::RequestConfiguration(const std::string& node,
                                      std::uint64_t version) {
  const auto found = peers_.find(node);
  if (found == peers_.end() || !found->second->connection) return;
  capnp::MallocMessageBuilder message;
  message.initRoot<wire::Frame>().setConfigurationRequest(version);
  found->second->connection->Send(message);
}

void LinkClient::set_pinned(const std::string& node) {
  if (std::exchange(pinned_, node) == node || node.empty()) return;
  const auto found = peers_.find(node);
  if (found == peers_.end()) return;
  Peer& peer = *found->second;
  peer.is_selected = true;
  if (!peer.connection && !peer.is_connecting) Connect(peer);
}

bool LinkClient::SendCoordination(const std::string& node,
                                  const CoordinationMessage& message) {
  const auto found = peers_.find(node);
  if (found == peers_.end() || !found->second->is_open) return false;
  capnp::MallocMessageBuilder frame;
  Encode(message, frame.initRoot<wire::Frame>().initCoordination());
  found->second->connection->Send(frame);
  return true;
}

std::size_t LinkClient::known_count(std::string_view data_centre) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(peers_, [data_centre](const auto& entry) {
        return entry.second->identity.data_centre == data_centre;
      }));
}

std::vector<NodeIdentity> LinkClient::connected() const {
  std::vector<NodeIdentity> nodes;
  for (const auto& [name, peer] : peers_) {
    if (peer->is_open) nodes.push_back(peer->identity);
  }
  return nodes;
}

void LinkClient::CheckSilence() {
  const MonotonicTime due = MonotonicClock::now() + kSilenceCheckInterval;
  silence_timer_.Start(kSilenceCheckInterval, [this, due] {
    const MonotonicTime now = MonotonicClock::now();
    if (now - due > kLateCheck) {
      logging::Log(Level::kWarning, "node", "stood still",
                   {{"late_ms", ToMilliseconds(now - due)}});
      CheckSilence();
      return;
    }
    for (auto& [name, peer] : peers_) {
      if (!peer->connection) continue;
      if (now - peer->connection->last_received() > kSilenceLimit) {
        peer->connection->Close();
      }
    }
    CheckSilence();
  });
}

}  // namespace oleandertide::sidecar
