// HTTP/1.1 server of a node: clients, heartbeats, readiness, metrics.

#ifndef OLEANDERTIDE_SIDECAR_HTTP_SERVER_H_
#define OLEANDERTIDE_SIDECAR_HTTP_SERVER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "core/address.h"
#include "core/result.h"
#include "core/time.h"
#include "sidecar/byte_budget.h"
#include "sidecar/event_loop.h"
#include "sidecar/http_parser.h"
#include "sidecar/timer.h"

namespace oleandertide::sidecar {

// What a client may send, and how long it may take.
struct HttpLimits {
  std::size_t maximum_header_bytes = std::size_t{16} << 10U;
  std::size_t maximum_body_bytes = std::size_t{64} << 20U;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

// What all clients of a server may hold. The defaults are no bounds.
struct HttpServerBounds {
  // Shared by all servers of the process; outlives them.
  ByteBudget* budget = nullptr;
  // Connections at a time. Beyond it, the one that has been idle for longest is
  // closed for a new one; without an idle one, accepting pauses. 0: no limit.
  std::size_t max_connections = 0;
  // Bytes that the system may keep unread for all connections together, as far
  // as it can hold so few for each; 0: what it chooses.
  std::size_t max_unread_bytes = 0;
  // Bytes of a body that holds much memory that arrive in a window at least; a
  // slower one is answered 408. A client that stays within the limits for
  // pauses is not slower. 0: no least rate.
  std::size_t least_body_bytes = 0;
  Duration least_body_window = std::chrono::seconds(15);
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

// Number of a request on its connection, from 0.
using RequestNumber = std::uint64_t;

// A request that waits for its answer, which is to be sent once. Not
// thread-safe.
class HttpReply {
 public:
  HttpReply(std::shared_ptr<detail::ServerConnection> connection,
            RequestNumber number, MonotonicTime received_at)
      : connection_(std::move(connection)),
        number_(number),
        received_at_(received_at) {}

  // Sends the answer after those to earlier requests of the connection. Does
  // nothing if the client has left or an earlier answer closes the connection.
  void Send(HttpAnswer answer);

  // Sets what to call if the client leaves before the answer, or if an earlier
  // answer closes the connection: the client then takes the request for unread.
  void set_on_client_left(std::function<void()> on_client_left);

  // Returns the charge for the memory of the request's body, which counts until
  // the answer is sent unless it is taken; to be kept with the body.
  ByteCharge TakeBodyCharge();

  // When the last byte of the request was read.
  MonotonicTime received_at() const { return received_at_; }

 private:
  std::shared_ptr<detail::ServerConnection> connection_;
  RequestNumber number_;
  MonotonicTime received_at_;
};

// Accepts connections and hands each complete request to a handler. Malformed
// requests and those beyond the limits are answered by the server itself.
//
// Pipelined requests that may be repeated are handled concurrently, up to a
// number for each connection; their answers go out in the order of the
// requests. Any other request is handled when all answers before it have been
// sent: clients repeat what they sent behind an answer that closes the
// connection. Nothing is read behind a malformed request, or behind one that
// ends the connection. Once the server is closing, what has been read is
// handled one by one, and the last answer ends the connection.
//
// Not thread-safe.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpRequest>, HttpReply)>;
  // Whether a request may be repeated.
  using IsRepeatable = std::function<bool(const HttpRequest&)>;

  // Listens on `address`. Without `is_repeatable`, no requests of a connection
  // are handled concurrently. Errors of the system, e.g. that the address is in
  // use.
  static Result<std::unique_ptr<HttpServer>> Create(
      EventLoop& loop, const Address& address, Handler handler,
      IsRepeatable is_repeatable = {});
  ~HttpServer();

  // Limits for requests from now on.
  void set_limits(const HttpLimits& limits) { limits_ = limits; }

  // Precondition: called before the loop runs the server.
  void set_bounds(const HttpServerBounds& bounds) {
    bounds_ = bounds;
    if (bounds_.max_unread_bytes == 0) return;
    BoundSegments(acceptor_);
    BoundUnread();
  }

  // Asks each client to open a new connection for its next request.
  void set_closing(bool is_closing) { is_closing_ = is_closing; }

  // Ends the server: takes in the connections and requests that have already
  // arrived, accepts no more, and closes each connection behind its last
  // answer. May be called again to take in what has arrived since.
  void Shutdown();

  // Whether all connections are closed.
  bool is_shut_down() const {
    return !acceptor_.is_open() && connections_.empty();
  }

  std::size_t connection_count() const { return connections_.size(); }

  // Idle connections that were closed for new ones.
  std::uint64_t closed_for_new() const { return closed_for_new_; }

  // Whether no request has been read in part, and each answer that was given
  // has been handed to the system in full.
  bool is_idle() const;

 private:
  friend class detail::ServerConnection;

  // Bytes that are read at once.
  static constexpr std::size_t kReadBytes = std::size_t{16} << 10U;

  HttpServer(EventLoop& loop, Tcp::acceptor acceptor, Handler handler,
             IsRepeatable is_repeatable);
  void Accept();
  // For log lines; empty once the server no longer listens.
  std::string ListeningAddress() const;
  void Add(Tcp::socket socket);
  // Closes idle connections for a new one if there are as many as allowed.
  void MakeRoom();
  // Bounds what the system keeps unread for each connection by their number.
  void BoundUnread();
  void Sweep();

  Tcp::acceptor acceptor_;
  Timer accept_timer_;
  Timer sweep_timer_;
  Handler handler_;
  IsRepeatable is_repeatable_;
  // Shared by all connections, so that an idle one holds no memory for reading.
  std::array<char, kReadBytes> read_area_;
  HttpLimits limits_;
  HttpServerBounds bounds_;
  // Connections among which max_unread_bytes is divided; a power of two.
  std::size_t unread_shares_ = 0;
  // For each new connection; 0 is what the system chooses.
  std::size_t receive_buffer_bytes_ = 0;
  std::uint64_t closed_for_new_ = 0;
  bool is_closing_ = false;
  std::unordered_set<std::shared_ptr<detail::ServerConnection>> connections_;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_HTTP_SERVER_H_
