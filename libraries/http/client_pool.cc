#include "http/client_pool.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "http/checked_client.h"

namespace oleandertide::http {
namespace {

// A server may close an idle connection at the moment of its next use, which
// would make the outcome of that request unknown. Servers keep idle
// connections for seconds, so connections idle for longer than this are not
// used again.
constexpr Duration kMaximumIdleTime = std::chrono::seconds(2);

// The library's read time-out may end slightly before the deadline.
constexpr Duration kTimerSlack = std::chrono::milliseconds(5);

constexpr Duration kMaximumConnectTime = std::chrono::milliseconds(500);
constexpr std::size_t kMaximumIdleConnections = 64;

// An address in the form that the socket functions take.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  static SocketAddress Of(const Address& address) {
    SocketAddress result;
    if (address.is_ipv6()) {
      auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
      ipv6->sin6_family = AF_INET6;
      ipv6->sin6_port = htons(address.port);
      inet_pton(AF_INET6, address.ip.c_str(), &ipv6->sin6_addr);
      result.length = sizeof(sockaddr_in6);
    } else {
      auto* ipv4 = reinterpret_cast<sockaddr_in*>(&result.storage);
      ipv4->sin_family = AF_INET;
      ipv4->sin_port = htons(address.port);
      inet_pton(AF_INET, address.ip.c_str(), &ipv4->sin_addr);
      result.length = sizeof(sockaddr_in);
    }
    return result;
  }
};

Failure ToFailure(httplib::Error error, bool is_cancelled) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      return Failure::kConnectFailed;
    default:
      return is_cancelled ? Failure::kCancelled : Failure::kConnectionLost;
  }
}

Response ToResponse(httplib::Response&& answer) {
  Response response;
  response.status = answer.status;
  response.content_type = "";
  for (auto& [name, value] : answer.headers) {
    response.headers.emplace_back(name, std::move(value));
  }
  response.body = std::move(answer.body);
  return response;
}

}  // namespace

class ClientPool::Connection {
 public:
  explicit Connection(const Address& server) : client_(server) {
    client_.set_keep_alive(true);
    client_.set_tcp_nodelay(true);
    client_.set_decompress(false);
    client_.set_follow_location(false);
    client_.set_url_encode(false);
  }

  bool is_fresh(MonotonicTime now) const {
    return now - last_used_ < kMaximumIdleTime;
  }
  void set_last_used(MonotonicTime now) { last_used_ = now; }

  // Prepares the limits of the next request. Precondition: remaining > 0.
  void set_remaining(Duration remaining) {
    client_.set_connection_timeout(std::min(remaining, kMaximumConnectTime));
    client_.set_limit(remaining);
  }

  CheckedClient& client() { return client_; }

 private:
  CheckedClient client_;
  MonotonicTime last_used_;
};

ClientPool::ClientPool(Address server, std::size_t maximum_answer_bytes)
    : server_(std::move(server)), maximum_answer_bytes_(maximum_answer_bytes) {}

ClientPool::~ClientPool() = default;

SendOutcome ClientPool::Send(const Request& request, MonotonicTime deadline,
                             std::stop_token cancelled) {
  const Duration remaining = deadline - MonotonicClock::now();
  if (remaining <= Duration(0)) return Failure::kConnectFailed;
  if (cancelled.stop_requested()) return Failure::kConnectFailed;

  std::unique_ptr<Connection> connection = Take();
  connection->set_remaining(remaining);
  CheckedClient& client = connection->client();

  httplib::Request outgoing;
  outgoing.method = request.method;
  outgoing.path = request.target;
  outgoing.body = request.body;
  for (const auto& [name, value] : request.headers) {
    outgoing.headers.emplace(name, value);
  }
  // The read timeout covers each read; this bounds the whole answer, which may
  // tell no length.
  bool is_late = false;
  std::string body;
  outgoing.content_receiver = [&](const char* data, std::size_t size,
                                  std::uint64_t /*offset*/,
                                  std::uint64_t total) {
    is_late = MonotonicClock::now() >= deadline;
    if (is_late || cancelled.stop_requested() ||
        std::max<std::uint64_t>(body.size() + size, total) >
            maximum_answer_bytes_) {
      return false;
    }
    body.append(data, size);
    return true;
  };

  httplib::Response answer;
  httplib::Error error = httplib::Error::Success;
  bool is_answered = false;
  {
    const std::stop_callback stop(cancelled, [&client] { client.stop(); });
    is_answered = client.SendChecked(outgoing, answer, error);
  }

  if (!is_answered) {
    if (is_late || MonotonicClock::now() + kTimerSlack >= deadline) {
      const Failure failure = ToFailure(error, false);
      return failure == Failure::kConnectFailed ? failure : Failure::kTimeout;
    }
    return ToFailure(error, cancelled.stop_requested());
  }
  answer.body = std::move(body);
  connection->set_last_used(MonotonicClock::now());
  Return(std::move(connection));
  return ToResponse(std::move(answer));
}

bool ClientPool::IsAccepting(Duration timeout) const {
  const SocketAddress address = SocketAddress::Of(server_);
  const int descriptor = socket(address.storage.ss_family,
                                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return false;
  const int status =
      connect(descriptor, reinterpret_cast<const sockaddr*>(&address.storage),
              address.length);
  if (status != 0 && errno != EINPROGRESS) {
    close(descriptor);
    return false;
  }
  pollfd writable{descriptor, POLLOUT, 0};
  int error = ETIMEDOUT;
  if (poll(&writable, 1, static_cast<int>(ToMilliseconds(timeout))) == 1) {
    socklen_t length = sizeof(error);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
  }
  close(descriptor);
  return error == 0;
}

std::unique_ptr<ClientPool::Connection> ClientPool::Take() {
  const MonotonicTime now = MonotonicClock::now();
  std::lock_guard lock(mutex_);
  while (!idle_.empty()) {
    std::unique_ptr<Connection> connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->is_fresh(now)) return connection;
  }
  return std::make_unique<Connection>(server_);
}

void ClientPool::Return(std::unique_ptr<Connection> connection) {
  std::lock_guard lock(mutex_);
  if (idle_.size() < kMaximumIdleConnections) {
    idle_.push_back(std::move(connection));
  }
}

}  // namespace oleandertide::http
