#include "sidecar/link_server.h"

#include <capnp/message.h>

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <variant>

#include "logging/log.h"

namespace oleandertide::sidecar {
namespace {

// How often the load is compared with what was last told, with few links.
constexpr Duration kCheckInterval = std::chrono::milliseconds(50);
// With more links than this, proportionally less often: the cost of status
// messages stays the same.
constexpr std::size_t kLinksAtFullRate = 12;
constexpr Duration kLongestCheckInterval = std::chrono::milliseconds(150);

// The status is sent at least this often, so that a silent link is noticed.
constexpr Duration kStatusInterval = std::chrono::milliseconds(300);

// A change of this many requests is told at the next check.
constexpr int kMaterialChange = 3;
// About one download of 90 kB at 5 Mbit/s.
constexpr Duration kMaterialLinkWait = std::chrono::milliseconds(100);

// A node that is slow to read gets no further part while more than this waits
// for it, and others go first.
constexpr std::size_t kMostUnsentBytes = std::size_t{64} << 10U;
// Time after which such nodes are looked at again.
constexpr Duration kUnsentCheckInterval = std::chrono::milliseconds(10);

bool IsFull(const mesh::BackendLoad& load) {
  return load.running + load.total_waiting() >= load.slots;
}

bool IsAcceptanceChange(const mesh::BackendLoad& before,
                        const mesh::BackendLoad& after) {
  return before.accepts_requests != after.accepts_requests ||
         before.slots != after.slots;
}

bool IsMaterialChange(const mesh::BackendLoad& before,
                      const mesh::BackendLoad& after) {
  const int change = after.running + after.total_waiting() - before.running -
                     before.total_waiting();
  return IsAcceptanceChange(before, after) || IsFull(before) != IsFull(after) ||
         std::abs(change) >= kMaterialChange ||
         after.link_wait - before.link_wait >= kMaterialLinkWait;
}

// Connections that have not said whose they are, and the largest message of
// one. A whole fleet may connect at once; each says it at once, in less than 1
// kB.
constexpr std::size_t kMaxUnknownSessions = 128;
constexpr std::size_t kMaxHelloBytes = std::size_t{64} << 10U;

constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

}  // namespace

Result<std::unique_ptr<LinkServer>> LinkServer::Create(
    EventLoop& loop, const Address& address, std::string data_centre,
    Receiver& receiver, mesh::LinkBacklog& backlog, Callbacks callbacks) {
  OLEANDERTIDE_TRY(acceptor, Listen(loop, address));
  std::unique_ptr<LinkServer> server(
      new LinkServer(loop, std::move(acceptor), std::move(data_centre),
                     receiver, backlog, std::move(callbacks)));
  server->Accept();
  server->ScheduleBroadcast();
  return server;
}

LinkServer::LinkServer(EventLoop& loop, Tcp::acceptor acceptor,
                       std::string data_centre, Receiver& receiver,
                       mesh::LinkBacklog& backlog, Callbacks callbacks)
    : acceptor_(std::move(acceptor)),
      data_centre_(std::move(data_centre)),
      broadcast_timer_(loop),
      accept_timer_(loop),
      receiver_(receiver),
      backlog_(backlog),
      part_timer_(loop),
      callbacks_(std::move(callbacks)) {}

LinkServer::~LinkServer() {
  const auto sessions = std::exchange(sessions_, {});
  for (const auto& session : sessions) session->connection->Close();
}

void LinkServer::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                Tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted || is_shutting_down_) {
      return;
    }
    if (error) {
      accept_timer_.Start(kAcceptPause, [this] { Accept(); });
      return;
    }
    auto session = std::make_shared<Session>();
    session->connection = std::make_shared<FramedConnection>(std::move(socket));
    session->connection->set_max_frame_bytes(kMaxHelloBytes);
    session->accepted_at = MonotonicClock::now();
    CloseOldestUnknown();
    session->connection->set_on_queued([this](std::size_t bytes) {
      backlog_.Add(MonotonicClock::now(), bytes);
    });
    sessions_.insert(session);
    // The session holds the connection, so the callbacks must not hold the
    // session.
    const std::weak_ptr<Session> weak = session;
    session->connection->Start(
        [this, weak](wire::Frame::Reader frame, const ReceivedBody& body) {
          if (const auto open = weak.lock()) OnFrame(open, frame, body);
        },
        [this, weak] {
          if (const auto closed = weak.lock()) OnClosed(closed);
        });
    Accept();
  });
}

void LinkServer::CloseOldestUnknown() {
  std::shared_ptr<Session> oldest;
  std::size_t unknown = 0;
  for (const auto& session : sessions_) {
    if (!session->node.empty()) continue;
    ++unknown;
    if (!oldest || session->accepted_at < oldest->accepted_at) oldest = session;
  }
  if (unknown < kMaxUnknownSessions) return;
  logging::Log(
      logging::Level::kWarning, "edge", "closed an unidentified link",
      {{"client", oldest->connection->RemoteAddress()},
       {"open_ms", ToMilliseconds(MonotonicClock::now() - oldest->accepted_at)},
       {"connections", unknown},
       {"bound", kMaxUnknownSessions}});
  oldest->connection->Close();
}

void LinkServer::OnFrame(const std::shared_ptr<Session>& session,
                         wire::Frame::Reader frame, const ReceivedBody& body) {
  switch (frame.which()) {
    case wire::Frame::HELLO: {
      const auto hello = Decode(frame.getHello());
      if (!hello) {
        logging::Log(logging::Level::kWarning, "link",
                     "node that opened a link does not say who it is",
                     {{"error", hello.error().message()}});
        session->connection->Close();
        return;
      }
      const NodeIdentity& node = hello.value();
      session->connection->set_max_frame_bytes(
          FramedConnection::kMaxFrameBytes);
      session->connection->set_budget(budget_);
      session->node = node.name;
      session->is_in_own_data_centre = node.data_centre == data_centre_;
      session->connection->set_packs(frame.getHello().getAcceptsPacked());
      callbacks_.on_hello(node);
      SendStatus(callbacks_.make_status(), {session});
      return;
    }
    case wire::Frame::CALL:
      OnCall(session, frame.getCall(), body);
      return;
    case wire::Frame::CANCEL: {
      const auto found = session->calls.find(frame.getCancel().getId());
      if (found == session->calls.end()) {
        DropAnswer(session, frame.getCancel().getId());
        return;
      }
      const CallId local = found->second.local;
      ForgetCall(*session, found->first);
      receiver_.Cancel(local);
      return;
    }
    case wire::Frame::CONFIGURATION_REQUEST: {
      const auto update =
          callbacks_.make_update(frame.getConfigurationRequest());
      if (!update) return;
      capnp::MallocMessageBuilder message;
      Encode(*update, message.initRoot<wire::Frame>().initConfiguration());
      session->connection->Send(message);
      return;
    }
    case wire::Frame::COORDINATION:
      if (callbacks_.on_coordination && !session->node.empty()) {
        callbacks_.on_coordination(session->node,
                                   Decode(frame.getCoordination()));
      }
      return;
    default:
      // Frames of later versions are of no use here.
      return;
  }
}

void LinkServer::OnCall(const std::shared_ptr<Session>& session,
                        wire::Call::Reader reader, const ReceivedBody& body) {
  if (is_shutting_down_) return;
  const CallId id = reader.getId();
  session->last_taken = std::max(session->last_taken, id);
  auto kept = KeepBody(body);
  // An eviction may have ended the link.
  if (session->connection->is_closed()) return;
  if (!kept) {
    receiver_.RecordMemoryRefusal();
    SendAnswer(session, id, mesh::NotRun{mesh::Reason::kNoMemory});
    return;
  }
  Call call = Decode(reader, std::move(*kept));
  if (call.link_allowance && link_wait() > *call.link_allowance) {
    receiver_.RecordLinkRefusal();
    SendAnswer(session, id, mesh::NotRun{mesh::Reason::kNoRoom});
    return;
  }
  // Entered first, since the outcome may come before Submit returns.
  session->calls[id] = {.expected_bytes = call.expected_bytes};
  promised_bytes_ += call.expected_bytes;
  const CallId local = receiver_.Submit(
      std::move(call), [this, session, id](mesh::Outcome outcome) {
        ForgetCall(*session, id);
        SendAnswer(session, id, std::move(outcome));
      });
  if (const auto found = session->calls.find(id);
      found != session->calls.end()) {
    found->second.local = local;
  }
}

std::optional<SharedBody> LinkServer::KeepBody(const ReceivedBody& body) {
  if (body.is_dropped()) return std::nullopt;
  if (budget_ == nullptr || body.is_charged()) return body.Share();
  const std::size_t bytes = body.view().size();
  auto charge = budget_->ChargeCall(bytes, MonotonicClock::now());
  if (!charge) return std::nullopt;
  return body.Share(std::move(*charge));
}

void LinkServer::ForgetCall(Session& session, CallId id) {
  const auto found = session.calls.find(id);
  if (found == session.calls.end()) return;
  promised_bytes_ -= found->second.expected_bytes;
  session.calls.erase(found);
}

Duration LinkServer::link_wait() const {
  return backlog_.Wait(MonotonicClock::now()) +
         backlog_.TransferTime(schedule_.remaining_bytes() + promised_bytes_);
}

mesh::BackendLoad LinkServer::MakeLoad() const {
  mesh::BackendLoad load = receiver_.load();
  load.link_wait = link_wait();
  return load;
}

void LinkServer::SendAnswer(const std::shared_ptr<Session>& session, CallId id,
                            mesh::Outcome outcome) {
  const auto* completed = std::get_if<mesh::Completed>(&outcome);
  if (completed != nullptr &&
      completed->body.size() > mesh::ChoosePartBytes(backlog_.mbps())) {
    const auto ticket = next_ticket_++;
    const std::size_t bytes = completed->body.size();
    schedule_.Add(ticket, bytes);
    ByteCharge charge;
    if (budget_ != nullptr) {
      charge = budget_->ForceCharge(ByteHolder::kLinks, bytes);
    }
    bulk_.emplace(
        ticket, BulkAnswer{session, id, std::move(outcome), std::move(charge)});
    SendParts();
    return;
  }
  capnp::MallocMessageBuilder message;
  Encode(id, outcome, MakeLoad(), message.initRoot<wire::Frame>().initAnswer());
  std::string_view body;
  if (completed != nullptr) body = completed->body;
  session->connection->Send(message, body);
}

void LinkServer::DropAnswer(const std::shared_ptr<Session>& session,
                            CallId id) {
  const auto found = std::ranges::find_if(bulk_, [&](const auto& entry) {
    return entry.second.id == id && entry.second.session.lock() == session;
  });
  if (found == bulk_.end()) return;
  schedule_.Remove(found->first);
  bulk_.erase(found);
}

void LinkServer::SendParts() {
  if (is_part_due_) return;
  Duration delay{};
  while (delay == Duration::zero() && !schedule_.is_empty()) {
    const auto ticket = schedule_.Next([this](auto candidate) {
      const auto session = bulk_.at(candidate).session.lock();
      return !session || session->connection->is_closed() ||
             session->connection->unsent_bytes() < kMostUnsentBytes;
    });
    if (ticket) SendPart(*ticket);
    delay = ticket ? mesh::ChoosePartDelay(backlog_.Wait(MonotonicClock::now()))
                   : kUnsentCheckInterval;
  }
  if (schedule_.is_empty()) return;
  is_part_due_ = true;
  part_timer_.Start(delay, [this] {
    is_part_due_ = false;
    SendParts();
  });
}

void LinkServer::SendPart(mesh::BulkSchedule::Ticket ticket) {
  BulkAnswer& answer = bulk_.at(ticket);
  const auto session = answer.session.lock();
  if (!session || session->connection->is_closed()) {
    schedule_.Remove(ticket);
    bulk_.erase(ticket);
    return;
  }
  std::string_view left = std::get<mesh::Completed>(answer.outcome).body;
  left.remove_prefix(answer.sent);
  const std::string_view part =
      left.substr(0, mesh::ChoosePartBytes(backlog_.mbps()));
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::Frame>();
  const bool is_last = part.size() == left.size();
  if (is_last) {
    Encode(answer.id, answer.outcome, MakeLoad(), frame.initAnswer());
  } else {
    frame.initBodyPart().setId(answer.id);
  }
  session->connection->Send(message, part);
  schedule_.RecordSent(ticket, part.size());
  answer.sent += part.size();
  if (is_last) bulk_.erase(ticket);
}

void LinkServer::OnClosed(const std::shared_ptr<Session>& session) {
  const auto calls = std::exchange(session->calls, {});
  for (const auto& [id, call] : calls) {
    promised_bytes_ -= call.expected_bytes;
    receiver_.Cancel(call.local);
  }
  sessions_.erase(session);
}

void LinkServer::ScheduleBroadcast() {
  const Duration scaled =
      kCheckInterval * static_cast<int>(sessions_.size()) / kLinksAtFullRate;
  broadcast_timer_.Start(
      std::clamp(scaled, kCheckInterval, kLongestCheckInterval), [this] {
        SendDueStatus();
        ScheduleBroadcast();
      });
}

void LinkServer::SendDueStatus() {
  const MonotonicTime now = MonotonicClock::now();
  const mesh::BackendLoad load = MakeLoad();
  const bool is_change = IsMaterialChange(announced_load_, load);
  // Other data centres get few requests from this one, and bytes between data
  // centres are priced: a change of the load alone is told at the next regular
  // status.
  const bool is_change_for_all = IsAcceptanceChange(announced_load_, load);
  std::vector<std::shared_ptr<Session>> due;
  for (const auto& session : sessions_) {
    if (now - session->told_at >= kStatusInterval ||
        (session->is_in_own_data_centre ? is_change : is_change_for_all)) {
      due.push_back(session);
    }
  }
  if (is_change) announced_load_ = load;
  if (due.empty()) return;
  const NodeStatus status = callbacks_.make_status();
  // Each report is sent a few times; each time, all nodes are to learn of it.
  if (!status.crash_reports.empty()) {
    due.assign(sessions_.begin(), sessions_.end());
  }
  SendStatus(status, due);
}

void LinkServer::SendStatus(
    const NodeStatus& status,
    const std::vector<std::shared_ptr<Session>>& sessions) {
  capnp::MallocMessageBuilder message;
  Encode(status, message.initRoot<wire::Frame>().initStatus());
  const MonotonicTime now = MonotonicClock::now();
  for (const auto& session : sessions) {
    session->told_at = now;
    session->connection->Send(message);
  }
}

void LinkServer::Forward(const NodeIdentity& node) {
  capnp::MallocMessageBuilder message;
  Encode(node, message.initRoot<wire::Frame>().initMembers().initMembers(1)[0]);
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->connection->Send(message);
}

bool LinkServer::SendCoordination(const std::string& node,
                                  const CoordinationMessage& message) {
  const auto found =
      std::ranges::find_if(sessions_, [&node](const auto& session) {
        return session->node == node && !session->connection->is_closed();
      });
  if (found == sessions_.end()) return false;
  capnp::MallocMessageBuilder frame;
  Encode(message, frame.initRoot<wire::Frame>().initCoordination());
  (*found)->connection->Send(frame);
  return true;
}

std::vector<std::string> LinkServer::session_nodes() const {
  std::vector<std::string> nodes;
  for (const auto& session : sessions_) {
    if (!session->node.empty()) nodes.push_back(session->node);
  }
  return nodes;
}

bool LinkServer::has_unsent_frames() const {
  return !bulk_.empty() ||
         std::ranges::any_of(sessions_, [](const auto& session) {
           return session->connection->unsent_bytes() > 0;
         });
}

void LinkServer::Shutdown() {
  if (std::exchange(is_shutting_down_, true)) return;
  accept_timer_.Cancel();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  const auto sessions = sessions_;
  for (const auto& session : sessions) {
    capnp::MallocMessageBuilder message;
    message.initRoot<wire::Frame>().setGoodbye(session->last_taken);
    session->connection->Send(message);
  }
}

void LinkServer::Broadcast() {
  announced_load_ = MakeLoad();
  // A failing link removes itself from the set.
  SendStatus(callbacks_.make_status(), {sessions_.begin(), sessions_.end()});
}

}  // namespace oleandertide::sidecar
