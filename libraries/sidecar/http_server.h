// HTTP/1.1 server of a node: clients, heartbeats, readiness, metrics.

#ifndef OLEANDERTIDE_SIDECAR_HTTP_SERVER_H_
#define OLEANDERTIDE_SIDECAR_HTTP_SERVER_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "core/address.h"
#include "core/result.h"
#include "core/time.h"
#include "sidecar/event_loop.h"

namespace oleandertide::sidecar {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// What a client may send, and how long it may take.
struct HttpLimits {
  std::size_t maximum_header_bytes = std::size_t{16} << 10U;
  std::size_t maximum_body_bytes = std::size_t{64} << 20U;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct HttpAnswer {
  int status = 200;
  // Lines as in HTTP/1.1, each with its line end, without those that frame the
  // message or concern the connection.
  std::string headers{};
  std::string body{};
  bool closes_connection = false;
};

namespace detail {
class ServerConnection;
}

// A request that waits for its answer, which is to be sent once.
class HttpReply {
 public:
  explicit HttpReply(std::shared_ptr<detail::ServerConnection> connection)
      : connection_(std::move(connection)) {}

  // Sends the answer. Does nothing if the client has left.
  void Send(HttpAnswer answer);

  // Sets what to call if the client leaves before the answer.
  void set_on_client_left(std::function<void()> on_client_left);

 private:
  std::shared_ptr<detail::ServerConnection> connection_;
};

// Accepts connections and hands each complete request to a handler. Answers go
// out in the order of the requests: the next request of a connection is read
// when the answer to the last one has been sent. Malformed requests and those
// beyond the limits are answered by the server itself. Not thread-safe.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpRequest>, HttpReply)>;

  // Listens on `address`. Errors of the system, e.g. that it is in use.
  static Result<std::unique_ptr<HttpServer>> Create(EventLoop& loop,
                                                    const Address& address,
                                                    Handler handler);
  ~HttpServer();

  // Limits for requests from now on.
  void set_limits(const HttpLimits& limits) { limits_ = limits; }

  // Asks each client to open a new connection for its next request.
  void set_closing(bool is_closing) { is_closing_ = is_closing; }

  std::size_t connection_count() const { return connections_.size(); }

 private:
  friend class detail::ServerConnection;

  HttpServer(EventLoop& loop, Tcp::acceptor acceptor, Handler handler);
  void Accept();
  void Sweep();

  Tcp::acceptor acceptor_;
  Timer accept_timer_;
  Timer sweep_timer_;
  Handler handler_;
  HttpLimits limits_;
  bool is_closing_ = false;
  std::unordered_set<std::shared_ptr<detail::ServerConnection>> connections_;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_HTTP_SERVER_H_
