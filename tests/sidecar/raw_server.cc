#include "sidecar/raw_server.h"

#include <fmt/format.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "sidecar/timer.h"

namespace oleandertide::sidecar {

struct RawServer::Session {
  explicit Session(Tcp::socket socket) : socket(std::move(socket)) {}

  Tcp::socket socket;
  std::string input;
  std::string output;
  bool is_answering = false;

  void Reset() {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
};

std::string RawRequest::header(std::string_view name) const {
  const std::string mark = fmt::format("\r\n{}: ", name);
  const auto start = head.find(mark);
  if (start == std::string::npos) return {};
  const auto first = start + mark.size();
  return head.substr(first, head.find("\r\n", first) - first);
}

std::string RawRequest::target() const {
  const auto first = head.find(' ') + 1;
  return head.substr(first, head.find(' ', first) - first);
}

std::string StampedAnswer(std::string_view body, int status) {
  return fmt::format(
      "HTTP/1.1 {} Status\r\nOleandertide-Request-Id: {{id}}\r\n"
      "Oleandertide-Server-Stamp: stamp\r\nContent-Length: {}\r\n\r\n{}",
      status, body.size(), body);
}

RawServer::RawServer(EventLoop& loop, Script script)
    : loop_(loop),
      acceptor_(loop,
                Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
      script_(std::move(script)) {
  Accept();
}

void RawServer::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, Tcp::socket socket) {
        if (error) return;
        ++accepted_;
        const auto session = std::make_shared<Session>(std::move(socket));
        sessions_.push_back(session);
        Read(session);
        Accept();
      });
}

void RawServer::Read(const std::shared_ptr<Session>& session) {
  auto chunk = std::make_shared<std::string>(16 * 1024, '\0');
  session->socket.async_read_some(
      boost::asio::buffer(*chunk),
      [this, session, chunk](const boost::system::error_code& error,
                             std::size_t size) {
        if (error) {
          if (session->is_answering) ++abandoned_;
          boost::system::error_code ignored;
          session->socket.close(ignored);
          return;
        }
        session->input.append(chunk->data(), size);
        Handle(session);
        if (session->socket.is_open()) Read(session);
      });
}

void RawServer::Handle(const std::shared_ptr<Session>& session) {
  if (session->is_answering) return;
  const auto end = session->input.find("\r\n\r\n");
  if (end == std::string::npos) return;
  RawRequest request{.head = session->input.substr(0, end + 2), .body = {}};
  const std::string length = request.header("Content-Length");
  const std::size_t body = length.empty() ? 0 : std::stoul(length);
  const std::size_t total = end + 4 + body;
  const bool is_whole = session->input.size() >= total;
  if (is_whole) {
    request.body = session->input.substr(end + 4, body);
    requests_.push_back(request);
  }
  const RawReply reply = script_(request);
  if (!is_whole && !reply.is_early) return;
  if (is_whole) session->input.erase(0, total);
  session->is_answering = true;
  auto timer = std::make_shared<Timer>(loop_);
  timer->Start(reply.delay, [this, session, timer, request, reply] {
    if (session->socket.is_open()) Reply(session, request, reply);
  });
}

void RawServer::Reply(const std::shared_ptr<Session>& session,
                      const RawRequest& request, const RawReply& reply) {
  session->is_answering = false;
  if (reply.resets) {
    session->Reset();
    return;
  }
  session->output = reply.bytes;
  const std::string id = request.header("Oleandertide-Request-Id");
  for (auto at = session->output.find("{id}"); at != std::string::npos;
       at = session->output.find("{id}")) {
    session->output.replace(at, 4, id);
  }
  boost::system::error_code ignored;
  boost::asio::write(session->socket, boost::asio::buffer(session->output),
                     ignored);
  if (!reply.late_bytes.empty()) {
    auto timer = std::make_shared<Timer>(loop_);
    timer->Start(reply.late_delay, [session, timer, bytes = reply.late_bytes] {
      boost::system::error_code closed;
      boost::asio::write(session->socket, boost::asio::buffer(bytes), closed);
    });
  }
  if (!reply.endless_bytes.empty()) {
    SendEndlessly(session, std::make_shared<std::string>(reply.endless_bytes));
    return;
  }
  if (reply.resets_after) {
    session->Reset();
    return;
  }
  if (reply.half_closes) {
    session->is_answering = true;
    session->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    return;
  }
  if (reply.closes) {
    session->socket.shutdown(Tcp::socket::shutdown_both, ignored);
    session->socket.close(ignored);
    return;
  }
  Handle(session);
}

void RawServer::SendEndlessly(const std::shared_ptr<Session>& session,
                              const std::shared_ptr<std::string>& bytes) {
  boost::asio::async_write(
      session->socket, boost::asio::buffer(*bytes),
      [this, session, bytes](const boost::system::error_code& error,
                             std::size_t size) {
        endless_sent_ += size;
        if (!error) SendEndlessly(session, bytes);
      });
}

void RawServer::Crash() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& weak : sessions_) {
    if (const auto session = weak.lock()) session->Reset();
  }
}

}  // namespace oleandertide::sidecar
