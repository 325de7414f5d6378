// Connections to the backend server beside the node.

#ifndef OLEANDERTIDE_SIDECAR_BACKEND_CLIENT_H_
#define OLEANDERTIDE_SIDECAR_BACKEND_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "sidecar/byte_budget.h"
#include "sidecar/event_loop.h"
#include "sidecar/http_connection.h"

namespace oleandertide::sidecar {

// Keeps connections open between requests; opening one costs the backend server
// part of a slot. Not thread-safe.
class BackendClient {
 public:
  using ExchangeId = std::uint64_t;

  // `budget` is the account for answers; outlives the client. Null: none.
  BackendClient(EventLoop& loop, Tcp::endpoint endpoint, ByteBudget* budget);
  ~BackendClient();

  // Sends a request. A backend server may forget an idle connection, and a
  // request that must not run twice is then lost: such a request goes out only
  // on a connection that was used within `idle_limit`, or on a new one.
  ExchangeId Send(HttpExchange exchange, Duration idle_limit);

  // Closes the connection of an exchange; its callbacks are not called.
  void Cancel(ExchangeId id);

  // Tells whether the address accepts a connection at present.
  void CheckReachable(std::function<void(bool)> on_result);

  // Closes idle connections, since another backend server took the address.
  void CloseIdle();

 private:
  using Connection = std::shared_ptr<HttpConnection>;

  Connection TakeIdle(Duration idle_limit);
  void Release(ExchangeId id);

  EventLoop& loop_;
  const Tcp::endpoint endpoint_;
  ByteBudget* const budget_;
  ExchangeId next_id_ = 1;
  std::unordered_map<ExchangeId, Connection> active_;
  // The one that was used last is at the end.
  std::vector<Connection> idle_;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_BACKEND_CLIENT_H_
