#include "http/server.h"

#include <httplib.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>

#include "core/worker_pool.h"
#include "http/hang_up_monitor.h"
#include "http/socket_stream.h"

namespace oleandertide::http {
namespace {

// The library interprets these request headers (it parses forms, inflates
// bodies, compresses answers and cuts ranges). A proxy passes them on instead,
// so they are hidden from the library under this prefix.
constexpr std::string_view kHiddenPrefix = "oleandertide-hidden-";
constexpr std::array<const char*, 4> kHiddenHeaders = {
    "Content-Type", "Content-Encoding", "Accept-Encoding", "Range"};

// Headers that the library adds to requests.
constexpr std::array<std::string_view, 4> kAddedHeaders = {
    "REMOTE_ADDR", "REMOTE_PORT", "LOCAL_ADDR", "LOCAL_PORT"};

constexpr int kBacklog = 1024;
constexpr std::size_t kRequestsPerConnection = 1000000;
constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(200);

// Connections above the limit are answered with an error; beyond this many of
// them at a time they wait.
constexpr std::size_t kExcessThreads = 8;

void HideHeaders(httplib::Request& request) {
  request.ranges.clear();
  for (const char* name : kHiddenHeaders) {
    const auto [first, last] = request.headers.equal_range(name);
    std::vector<std::string> values;
    for (auto header = first; header != last; ++header) {
      values.push_back(header->second);
    }
    request.headers.erase(name);
    for (std::string& value : values) {
      request.headers.emplace(std::string(kHiddenPrefix) + name,
                              std::move(value));
    }
  }
}

Headers CopyHeaders(const httplib::Headers& headers) {
  Headers result;
  for (const auto& [name, value] : headers) {
    const bool is_added = std::find(kAddedHeaders.begin(), kAddedHeaders.end(),
                                    name) != kAddedHeaders.end();
    if (is_added) continue;
    if (name.starts_with(kHiddenPrefix)) {
      result.emplace_back(name.substr(kHiddenPrefix.size()), value);
    } else {
      result.emplace_back(name, value);
    }
  }
  return result;
}

void Fill(const Response& response, httplib::Response& out) {
  out.status = response.status;
  out.headers.clear();
  for (const auto& [name, value] : response.headers) {
    out.headers.emplace(name, value);
  }
  out.body = response.body;
  if (!response.content_type.empty()) {
    out.set_header("Content-Type", response.content_type);
  }
}

// The connection that this thread serves, and whether the handler has made the
// answer to its present request.
thread_local int current_socket = -1;
thread_local bool is_handled = false;

// Adapts the worker pool to the library's interface.
class PoolTaskQueue final : public httplib::TaskQueue {
 public:
  PoolTaskQueue(std::size_t threads, std::size_t queue)
      : pool_(threads, queue) {}

  void enqueue(std::function<void()> task) override {
    pool_.Submit(std::move(task));
  }
  void shutdown() override { pool_.Stop(); }

 private:
  WorkerPool pool_;
};

}  // namespace

bool ServerOptions::FitToMemory(std::uint64_t memory_bytes) {
  // Of the library, the request, the call and its message to another node.
  constexpr std::uint64_t kBodyCopies = 4;
  const std::uint64_t fitting =
      memory_bytes / 2 / (kBodyCopies * maximum_body_bytes);
  if (fitting >= maximum_connections) return false;
  maximum_connections = std::max<std::uint64_t>(1, fitting);
  return true;
}

bool HasSameName(std::string_view first, std::string_view second) {
  return first.size() == second.size() &&
         strncasecmp(first.data(), second.data(), first.size()) == 0;
}

std::string_view FindHeader(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (HasSameName(key, name)) return value;
  }
  return {};
}

class Server::Impl final : public httplib::Server {
 public:
  Impl(ServerOptions options, http::Handler handler, ErrorHandler error_handler)
      : options_(options),
        handler_(std::move(handler)),
        error_handler_(std::move(error_handler)) {
    new_task_queue = [this] {
      const std::size_t threads = options_.maximum_connections + kExcessThreads;
      return new PoolTaskQueue(threads, 2 * threads);
    };
    // The library sets SO_REUSEPORT instead, which lets another process listen
    // on the same port, and refuses the port of a process that has just ended
    // while its connections are in the state TIME_WAIT.
    set_socket_options([](int descriptor) {
      const int on = 1;
      setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    set_tcp_nodelay(true);
    set_socket_options([this](socket_t socket) {
      // Not SO_REUSEPORT, the library's default: a second process that binds
      // the same port must fail instead of taking a share of the connections.
      const int is_set = 1;
      setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &is_set, sizeof(is_set));
      listening_socket_ = socket;
    });
    set_payload_max_length(options_.maximum_body_bytes);
    // Announced to callers; the loop in ServeConnection decides.
    set_keep_alive_max_count(kRequestsPerConnection);
    set_keep_alive_timeout(
        std::chrono::duration_cast<std::chrono::seconds>(options_.keep_alive)
            .count());
    const auto handle = [this](const httplib::Request& request,
                               httplib::Response& response) {
      Handle(request, response);
    };
    Get(".*", handle);
    Post(".*", handle);
    Put(".*", handle);
    Patch(".*", handle);
    Delete(".*", handle);
    Options(".*", handle);
    set_error_handler(
        [this](const httplib::Request&, httplib::Response& response) {
          // Answers of the handler have a body or are meant to have none.
          if (!is_handled) Fill(error_handler_(response.status), response);
        });
  }

  ~Impl() override { StopServing(); }

  Result<void> Listen(const Address& address) {
    if (address.port == 0) {
      port_ = bind_to_any_port(address.ip);
    } else {
      port_ = bind_to_port(address.ip, address.port) ? address.port : -1;
    }
    if (port_ <= 0) return Error::kUnavailable;
    // The library's backlog of 5 drops connections when many arrive at once.
    ::listen(listening_socket_, kBacklog);
    thread_ = std::thread([this] { listen_after_bind(); });
    return Success();
  }

  void StopServing() {
    is_stopping_ = true;
    if (!thread_.joinable()) return;
    while (!is_running()) std::this_thread::yield();
    stop();
    thread_.join();
  }

  int port() const { return port_; }
  void BeginDrain() { is_draining_ = true; }

 private:
  bool process_and_close_socket(socket_t socket) override {
    const std::size_t open = ++open_connections_;
    const bool is_served = open <= options_.maximum_connections
                               ? ServeConnection(socket)
                               : RefuseConnection(socket);
    --open_connections_;
    shutdown(socket, SHUT_RDWR);
    close(socket);
    return is_served;
  }

  bool ServeConnection(int socket) {
    SocketStream stream(socket, options_.read_timeout);
    current_socket = socket;
    while (WaitForRequest(stream)) {
      bool is_closed = false;
      is_handled = false;
      const bool is_last = is_stopping_ || is_draining_;
      const bool is_answered =
          process_request(stream, is_last, is_closed, HideHeaders);
      if (!is_answered || is_closed || is_last) return is_answered;
    }
    return true;
  }

  bool WaitForRequest(const SocketStream& stream) const {
    const MonotonicTime deadline = MonotonicClock::now() + options_.keep_alive;
    while (MonotonicClock::now() < deadline) {
      if (stream.WaitReadable(kIdleCheckInterval)) return true;
      if (is_stopping_) return false;
    }
    return false;
  }

  bool RefuseConnection(int socket) {
    const http::Response refusal = error_handler_(503);
    std::string text =
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
        "Content-Type: " +
        refusal.content_type +
        "\r\nContent-Length: " + std::to_string(refusal.body.size()) + "\r\n";
    for (const auto& [name, value] : refusal.headers) {
      text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append("\r\n").append(refusal.body);
    SocketStream stream(socket, options_.read_timeout);
    return stream.write(text.data(), text.size()) ==
           static_cast<ssize_t>(text.size());
  }

  void Handle(const httplib::Request& request, httplib::Response& response) {
    is_handled = true;
    std::stop_source cancellation;
    monitor_.Watch(current_socket, cancellation);
    const http::Response answer =
        handler_(http::Request{request.method, request.target, request.path,
                               CopyHeaders(request.headers), request.body},
                 cancellation.get_token());
    monitor_.Unwatch(current_socket);
    Fill(answer, response);
  }

  const ServerOptions options_;
  const http::Handler handler_;
  const ErrorHandler error_handler_;
  HangUpMonitor monitor_;
  std::atomic<std::size_t> open_connections_{0};
  std::atomic<bool> is_draining_{false};
  std::atomic<bool> is_stopping_{false};
  int listening_socket_ = -1;
  int port_ = 0;
  std::thread thread_;
};

Server::Server(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Server::~Server() = default;

Result<std::unique_ptr<Server>> Server::Start(const Address& address,
                                              ServerOptions options,
                                              Handler handler,
                                              ErrorHandler error_handler) {
  auto impl = std::make_unique<Impl>(options, std::move(handler),
                                     std::move(error_handler));
  OLEANDERTIDE_CHECK(impl->Listen(address));
  return std::unique_ptr<Server>(new Server(std::move(impl)));
}

std::uint16_t Server::port() const {
  return static_cast<std::uint16_t>(impl_->port());
}

void Server::BeginDrain() { impl_->BeginDrain(); }

void Server::Stop() { impl_->StopServing(); }

}  // namespace oleandertide::http
