// HTTP/1.1 server on cpp-httplib that notices callers that hang up.

#ifndef OLEANDERTIDE_HTTP_SERVER_H_
#define OLEANDERTIDE_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/address.h"
#include "core/result.h"
#include "core/size.h"
#include "core/time.h"

namespace oleandertide::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Whether two header names are the same, compared without regard to case.
// Thread-safe.
bool HasSameName(std::string_view first, std::string_view second);

// Returns the value of the first header with `name`, compared without regard
// to case, or an empty view. Thread-safe.
std::string_view FindHeader(const Headers& headers, std::string_view name);

struct Request {
  std::string method;
  std::string target;  // Path and query as received.
  std::string path;    // Decoded path without the query.
  Headers headers;
  std::string body;
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
  std::string content_type = "application/json";
};

struct ServerOptions {
  // Connections served at a time; each has a thread while it is open.
  std::size_t maximum_connections = 256;
  std::size_t maximum_body_bytes = kMebibyte;
  // Idle time after which a kept connection is closed.
  Duration keep_alive = std::chrono::seconds(30);
  // Time without progress after which reading a request is given up.
  Duration read_timeout = std::chrono::seconds(5);

  // Lowers the number of connections so that the largest bodies of all of them
  // fit into half of the process's memory, with the copies that are made of
  // each. Returns whether it was lowered. Not thread-safe.
  bool FitToMemory(std::uint64_t memory_bytes);
};

// Runs on a thread per connection. `cancelled` is requested when the caller
// closes its connection, or its sending half, before the answer.
using Handler =
    std::function<Response(const Request& request, std::stop_token cancelled)>;

// Makes the body for errors that arise below the handler: a request that is
// malformed or too large (status 400 to 414), or one connection too many
// (status 503).
using ErrorHandler = std::function<Response(int status)>;

// Thread-safe.
class Server {
 public:
  // Listens on `address` (port 0: any) and serves until stopped. Error
  // kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<Server>> Start(const Address& address,
                                               ServerOptions options,
                                               Handler handler,
                                               ErrorHandler error_handler);

  // Stops as by Stop().
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const;

  // Makes each further answer close its connection, so that callers connect
  // elsewhere. New connections are still served.
  void BeginDrain();

  // Stops accepting, closes idle connections and waits until the requests in
  // progress are answered. Idempotent.
  void Stop();

 private:
  class Impl;
  explicit Server(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace oleandertide::http

#endif  // OLEANDERTIDE_HTTP_SERVER_H_
