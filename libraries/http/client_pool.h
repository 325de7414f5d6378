// Pooled HTTP/1.1 connections to one server.

#ifndef OLEANDERTIDE_HTTP_CLIENT_POOL_H_
#define OLEANDERTIDE_HTTP_CLIENT_POOL_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <stop_token>
#include <variant>
#include <vector>

#include "core/address.h"
#include "core/time.h"
#include "http/server.h"

namespace oleandertide::http {

// Why a request has no answer. Only kConnectFailed is certain to have sent
// nothing.
enum class Failure { kConnectFailed, kConnectionLost, kTimeout, kCancelled };

using SendOutcome = std::variant<Response, Failure>;

// Each connection carries one request at a time. A connection on which a
// request failed or timed out is closed, so that a late answer reaches nobody.
// Thread-safe.
class ClientPool {
 public:
  // `maximum_answer_bytes` bounds each answer's body.
  ClientPool(Address server, std::size_t maximum_answer_bytes);
  ~ClientPool();

  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;

  // Sends `request` and blocks until its whole answer, `deadline`, or its
  // cancellation. `request.path` is not used.
  SendOutcome Send(const Request& request, MonotonicTime deadline,
                   std::stop_token cancelled);

  // Whether the server accepts a new connection within `timeout`.
  bool IsAccepting(Duration timeout) const;

  const Address& server() const { return server_; }

 private:
  class Connection;

  std::unique_ptr<Connection> Take();
  void Return(std::unique_ptr<Connection> connection);

  const Address server_;
  const std::size_t maximum_answer_bytes_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Connection>> idle_;
};

}  // namespace oleandertide::http

#endif  // OLEANDERTIDE_HTTP_CLIENT_POOL_H_
