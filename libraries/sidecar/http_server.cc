#include "sidecar/http_server.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace oleandertide::sidecar {

namespace http = boost::beast::http;

namespace detail {

// Bytes that are read at once.
constexpr std::size_t kReadBytes = std::size_t{16} << 10U;

// Bytes of further requests that are kept while one is being answered. Reading
// stops there; a client that leaves is then noticed when its answer is sent.
constexpr std::size_t kMaximumPipelinedBytes = std::size_t{256} << 10U;

// Connections are checked for idleness this often.
constexpr Duration kSweepInterval = std::chrono::milliseconds(250);

// A client that does not read its answer for this long is cut off.
constexpr Duration kWriteTimeout = std::chrono::seconds(30);

// Pause after a failure to accept, e.g. for want of descriptors.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

struct ServerFailure {
  int status;
};

// The answer to a request that cannot be parsed.
ServerFailure ToFailure(const boost::system::error_code& error) {
  if (error == http::error::header_limit) return {431};
  if (error == http::error::body_limit) return {413};
  return {400};
}

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpServer* server, Tcp::socket socket)
      : server_(server), socket_(std::move(socket)) {
    BeginRequest();
  }

  void Start() { Read(); }

  void Send(HttpAnswer answer) {
    if (!is_answering_ || is_closed_) return;
    is_answering_ = false;
    is_writing_ = true;
    on_client_left_ = nullptr;
    const bool closes = answer.closes_connection || !keeps_alive_ ||
                        server_ == nullptr || server_->is_closing_;
    closes_after_write_ = closes;
    const auto reason =
        http::obsolete_reason(static_cast<http::status>(answer.status));
    head_ = fmt::format("HTTP/1.1 {} {}\r\n{}", answer.status,
                        std::string_view(reason.data(), reason.size()),
                        answer.headers);
    const bool is_without_body = answer.status == 204 || answer.status == 304;
    if (!is_without_body) {
      head_ += fmt::format("Content-Length: {}\r\n", answer.body.size());
    }
    if (closes) head_ += "Connection: close\r\n";
    head_ += "\r\n";
    body_ = is_head_request_ || is_without_body ? std::string()
                                                : std::move(answer.body);
    deadline_ = MonotonicClock::now() + kWriteTimeout;
    const std::array<boost::asio::const_buffer, 2> buffers = {
        boost::asio::buffer(head_), boost::asio::buffer(body_)};
    boost::asio::async_write(
        socket_, buffers,
        [self = shared_from_this()](const boost::system::error_code& error,
                                    std::size_t /*size*/) {
          self->OnWritten(error);
        });
  }

  void set_on_client_left(std::function<void()> on_client_left) {
    if (is_closed_) {
      // The client left while the handler was running.
      if (on_client_left) on_client_left();
      return;
    }
    on_client_left_ = std::move(on_client_left);
  }

  // Closes the connection if the client has exceeded its time.
  void CheckTime(MonotonicTime now) {
    if (is_answering_ || now < deadline_) return;
    if (!is_writing_ && has_partial_request_) {
      Fail({408});
    } else {
      Close();
    }
  }

  void Close() {
    if (is_closed_) return;
    is_closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    // The callbacks may hold the last other references to this object.
    const auto self = shared_from_this();
    const auto on_client_left = std::exchange(on_client_left_, nullptr);
    if (server_ != nullptr) server_->connections_.erase(self);
    if (on_client_left) on_client_left();
  }

  void Detach() {
    server_ = nullptr;
    on_client_left_ = nullptr;
    Close();
  }

 private:
  void BeginRequest() {
    parser_.emplace();
    const HttpLimits& limits = server_->limits_;
    parser_->header_limit(
        static_cast<std::uint32_t>(limits.maximum_header_bytes));
    parser_->body_limit(limits.maximum_body_bytes);
    parser_->eager(true);
    has_partial_request_ = false;
    deadline_ = MonotonicClock::now() + limits.idle_timeout;
  }

  void Read() {
    if (is_reading_ || is_closed_) return;
    if (is_answering_ && buffer_.size() >= kMaximumPipelinedBytes) return;
    is_reading_ = true;
    socket_.async_read_some(
        buffer_.prepare(kReadBytes),
        [self = shared_from_this()](const boost::system::error_code& error,
                                    std::size_t size) {
          self->OnRead(error, size);
        });
  }

  void OnRead(const boost::system::error_code& error, std::size_t size) {
    is_reading_ = false;
    if (is_closed_) return;
    if (error) {
      // A client that shuts down its side has no use for an answer.
      Close();
      return;
    }
    buffer_.commit(size);
    if (!is_answering_ && !is_writing_) Parse();
    Read();
  }

  void Parse() {
    if (buffer_.size() == 0) return;
    if (!has_partial_request_) {
      has_partial_request_ = true;
      deadline_ = MonotonicClock::now() + server_->limits_.header_timeout;
    }
    boost::system::error_code error;
    while (buffer_.size() > 0 && !parser_->is_done()) {
      const std::size_t used = parser_->put(buffer_.data(), error);
      buffer_.consume(used);
      if (error == http::error::need_more) {
        error = {};
        if (used == 0) break;
      }
      if (error) {
        Fail(ToFailure(error));
        return;
      }
    }
    if (parser_->is_header_done() && !parser_->is_done()) {
      deadline_ = MonotonicClock::now() + server_->limits_.idle_timeout;
    }
    if (parser_->is_done()) Handle();
  }

  void Handle() {
    auto request = std::make_shared<HttpRequest>(parser_->release());
    is_answering_ = true;
    has_partial_request_ = false;
    keeps_alive_ = request->keep_alive();
    is_head_request_ = request->method() == http::verb::head;
    server_->handler_(std::move(request), HttpReply(shared_from_this()));
  }

  void Fail(ServerFailure failure) {
    is_answering_ = true;
    is_head_request_ = false;
    Send({.status = failure.status, .closes_connection = true});
  }

  void OnWritten(const boost::system::error_code& error) {
    is_writing_ = false;
    if (is_closed_) return;
    if (error || closes_after_write_ || server_ == nullptr) {
      boost::system::error_code ignored;
      socket_.shutdown(Tcp::socket::shutdown_send, ignored);
      Close();
      return;
    }
    head_.clear();
    body_ = std::string();
    BeginRequest();
    Parse();
    Read();
  }

  HttpServer* server_;
  Tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string head_;
  std::string body_;
  std::function<void()> on_client_left_;
  MonotonicTime deadline_;
  bool is_reading_ = false;
  bool has_partial_request_ = false;
  bool is_answering_ = false;
  bool is_writing_ = false;
  bool is_closed_ = false;
  bool keeps_alive_ = true;
  bool closes_after_write_ = false;
  bool is_head_request_ = false;
};

}  // namespace detail

void HttpReply::Send(HttpAnswer answer) {
  connection_->Send(std::move(answer));
}

void HttpReply::set_on_client_left(std::function<void()> on_client_left) {
  connection_->set_on_client_left(std::move(on_client_left));
}

Result<std::unique_ptr<HttpServer>> HttpServer::Create(EventLoop& loop,
                                                       const Address& address,
                                                       Handler handler) {
  OLEANDERTIDE_TRY(acceptor, Listen(loop, address));
  std::unique_ptr<HttpServer> server(
      new HttpServer(loop, std::move(acceptor), std::move(handler)));
  server->Accept();
  server->Sweep();
  return server;
}

HttpServer::HttpServer(EventLoop& loop, Tcp::acceptor acceptor, Handler handler)
    : acceptor_(std::move(acceptor)),
      accept_timer_(loop),
      sweep_timer_(loop),
      handler_(std::move(handler)) {}

HttpServer::~HttpServer() {
  const auto connections = std::exchange(connections_, {});
  for (const auto& connection : connections) connection->Detach();
}

void HttpServer::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                Tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      accept_timer_.expires_after(detail::kAcceptPause);
      accept_timer_.async_wait([this](const boost::system::error_code& failed) {
        if (!failed) Accept();
      });
      return;
    }
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const auto connection =
        std::make_shared<detail::ServerConnection>(this, std::move(socket));
    connections_.insert(connection);
    connection->Start();
    Accept();
  });
}

void HttpServer::Sweep() {
  sweep_timer_.expires_after(detail::kSweepInterval);
  sweep_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    const MonotonicTime now = MonotonicClock::now();
    const std::vector<std::shared_ptr<detail::ServerConnection>> connections(
        connections_.begin(), connections_.end());
    for (const auto& connection : connections) connection->CheckTime(now);
    Sweep();
  });
}

}  // namespace oleandertide::sidecar
