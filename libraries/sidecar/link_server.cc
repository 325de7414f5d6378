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
constexpr Duration kMaterialLinkWait = std::chrono::milliseconds(50);

// Larger bodies are sent in parts of this size, between which small frames go
// out: at 5 Mbit/s a part takes 26 ms.
constexpr std::size_t kPartBytes = std::size_t{16} << 10U;

bool IsFull(const mesh::BackendLoad& load) {
  return load.running + load.waiting >= load.slots;
}

bool IsMaterialChange(const mesh::BackendLoad& before,
                      const mesh::BackendLoad& after) {
  const int change =
      after.running + after.waiting - before.running - before.waiting;
  return before.accepts_requests != after.accepts_requests ||
         before.slots != after.slots || IsFull(before) != IsFull(after) ||
         std::abs(change) >= kMaterialChange ||
         after.link_wait - before.link_wait >= kMaterialLinkWait;
}

constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

}  // namespace

Result<std::unique_ptr<LinkServer>> LinkServer::Create(EventLoop& loop,
                                                       const Address& address,
                                                       Receiver& receiver,
                                                       double link_mbps,
                                                       Callbacks callbacks) {
  OLEANDERTIDE_TRY(acceptor, Listen(loop, address));
  std::unique_ptr<LinkServer> server(new LinkServer(
      loop, std::move(acceptor), receiver, link_mbps, std::move(callbacks)));
  server->Accept();
  server->ScheduleBroadcast();
  return server;
}

LinkServer::LinkServer(EventLoop& loop, Tcp::acceptor acceptor,
                       Receiver& receiver, double link_mbps,
                       Callbacks callbacks)
    : acceptor_(std::move(acceptor)),
      broadcast_timer_(loop),
      accept_timer_(loop),
      receiver_(receiver),
      backlog_(link_mbps),
      callbacks_(std::move(callbacks)) {}

LinkServer::~LinkServer() {
  const auto sessions = std::exchange(sessions_, {});
  for (const auto& session : sessions) session->connection->Close();
}

void LinkServer::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                Tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      accept_timer_.expires_after(kAcceptPause);
      accept_timer_.async_wait([this](const boost::system::error_code& failed) {
        if (!failed) Accept();
      });
      return;
    }
    auto session = std::make_shared<Session>();
    session->connection = std::make_shared<FramedConnection>(std::move(socket));
    session->connection->set_on_submitted([this](std::size_t bytes) {
      backlog_.Add(MonotonicClock::now(), bytes);
    });
    sessions_.insert(session);
    // The session holds the connection, so the callbacks must not hold the
    // session.
    const std::weak_ptr<Session> weak = session;
    session->connection->Start(
        [this, weak](wire::Frame::Reader frame, std::string_view body) {
          if (const auto open = weak.lock()) OnFrame(open, frame, body);
        },
        [this, weak] {
          if (const auto closed = weak.lock()) OnClosed(closed);
        });
    Accept();
  });
}

void LinkServer::OnFrame(const std::shared_ptr<Session>& session,
                         wire::Frame::Reader frame, std::string_view body) {
  switch (frame.which()) {
    case wire::Frame::HELLO: {
      callbacks_.on_hello(Decode(frame.getHello()));
      capnp::MallocMessageBuilder message;
      Encode(callbacks_.make_status(),
             message.initRoot<wire::Frame>().initStatus());
      session->connection->Send(message);
      return;
    }
    case wire::Frame::CALL:
      OnCall(session, frame.getCall(), body);
      return;
    case wire::Frame::CANCEL: {
      const auto found = session->calls.find(frame.getCancel().getId());
      if (found == session->calls.end()) return;
      const CallId local = found->second;
      session->calls.erase(found);
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
    default:
      // Frames of later versions are of no use here.
      return;
  }
}

void LinkServer::OnCall(const std::shared_ptr<Session>& session,
                        wire::Call::Reader call, std::string_view body) {
  const CallId id = call.getId();
  // Entered first, since the outcome may come before Submit returns.
  session->calls[id] = 0;
  const CallId local = receiver_.Submit(
      Decode(call, body), [this, session, id](const mesh::Outcome& outcome) {
        session->calls.erase(id);
        SendAnswer(*session->connection, id, outcome);
      });
  if (const auto found = session->calls.find(id);
      found != session->calls.end()) {
    found->second = local;
  }
}

mesh::BackendLoad LinkServer::MakeLoad() const {
  mesh::BackendLoad load = receiver_.load();
  load.link_wait = link_wait();
  return load;
}

void LinkServer::SendAnswer(FramedConnection& connection, CallId id,
                            const mesh::Outcome& outcome) {
  const auto* completed = std::get_if<mesh::Completed>(&outcome);
  std::string_view body;
  if (completed != nullptr) body = completed->body;
  const bool is_large = body.size() > kPartBytes;
  while (body.size() > kPartBytes) {
    capnp::MallocMessageBuilder part;
    part.initRoot<wire::Frame>().initBodyPart().setId(id);
    connection.SendBulk(part, body.substr(0, kPartBytes));
    body.remove_prefix(kPartBytes);
  }
  capnp::MallocMessageBuilder message;
  Encode(id, outcome, MakeLoad(), message.initRoot<wire::Frame>().initAnswer());
  if (is_large) {
    connection.SendBulk(message, body);
  } else {
    connection.Send(message, body);
  }
}

void LinkServer::OnClosed(const std::shared_ptr<Session>& session) {
  const auto calls = std::exchange(session->calls, {});
  for (const auto& [id, local] : calls) receiver_.Cancel(local);
  sessions_.erase(session);
}

void LinkServer::ScheduleBroadcast() {
  const Duration scaled =
      kCheckInterval * static_cast<int>(sessions_.size()) / kLinksAtFullRate;
  broadcast_timer_.expires_after(
      std::clamp(scaled, kCheckInterval, kLongestCheckInterval));
  broadcast_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    if (MonotonicClock::now() - announced_at_ >= kStatusInterval ||
        IsMaterialChange(announced_load_, MakeLoad())) {
      Broadcast();
    }
    ScheduleBroadcast();
  });
}

void LinkServer::Forward(const NodeIdentity& node) {
  capnp::MallocMessageBuilder message;
  Encode(node, message.initRoot<wire::Frame>().initMembers().initMembers(1)[0]);
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->connection->Send(message);
}

void LinkServer::Broadcast() {
  const NodeStatus status = callbacks_.make_status();
  announced_load_ = status.load;
  announced_at_ = MonotonicClock::now();
  capnp::MallocMessageBuilder message;
  Encode(status, message.initRoot<wire::Frame>().initStatus());
  // A failing link removes itself from the set.
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->connection->Send(message);
}

}  // namespace oleandertide::sidecar
