#include "sidecar/backend_client.h"

#include <algorithm>
#include <utility>

#include "sidecar/timer.h"

namespace oleandertide::sidecar {
namespace {

// The backend server is on the same instance, so a connection that takes longer
// is not accepted.
constexpr Duration kConnectLimit = std::chrono::milliseconds(500);

// A connection is not used in the last part of the time that the backend server
// keeps it, since its close may already be on the way.
constexpr Duration kKeepAliveMargin = std::chrono::seconds(2);
constexpr Duration kDefaultKeepAlive = std::chrono::seconds(5);

}  // namespace

BackendClient::BackendClient(EventLoop& loop, Tcp::endpoint endpoint,
                             ByteBudget* budget)
    : loop_(loop), endpoint_(std::move(endpoint)), budget_(budget) {}

BackendClient::~BackendClient() {
  CloseIdle();
  const auto active = std::exchange(active_, {});
  for (const auto& [id, connection] : active) connection->Close();
}

BackendClient::Connection BackendClient::TakeIdle(Duration idle_limit) {
  const MonotonicTime now = MonotonicClock::now();
  while (!idle_.empty()) {
    Connection connection = idle_.back();
    const Duration idle = now - connection->idle_since();
    const Duration keep_alive =
        connection->keep_alive().value_or(kDefaultKeepAlive) - kKeepAliveMargin;
    if (connection->is_usable() && idle < keep_alive) {
      // Those below have been idle for longer.
      if (idle >= idle_limit) return nullptr;
      idle_.pop_back();
      connection->set_on_closed(nullptr);
      return connection;
    }
    idle_.pop_back();
    connection->set_on_closed(nullptr);
    connection->Close();
  }
  return nullptr;
}

BackendClient::ExchangeId BackendClient::Send(HttpExchange exchange,
                                              Duration idle_limit) {
  const ExchangeId id = next_id_++;
  Connection connection = TakeIdle(idle_limit);
  if (!connection) {
    connection =
        std::make_shared<HttpConnection>(loop_, endpoint_, kConnectLimit);
    connection->set_budget(budget_);
  }
  active_.emplace(id, connection);
  exchange.on_answer =
      [this, id, next = std::move(exchange.on_answer)](HttpResponse response) {
        Release(id);
        next(std::move(response));
      };
  exchange.on_failure =
      [this, id, next = std::move(exchange.on_failure)](HttpFailure failure) {
        active_.erase(id);
        next(failure);
      };
  connection->Start(std::move(exchange));
  return id;
}

void BackendClient::Release(ExchangeId id) {
  const auto found = active_.find(id);
  if (found == active_.end()) return;
  const Connection connection = found->second;
  active_.erase(found);
  if (!connection->is_usable()) return;
  connection->set_on_closed([this, raw = connection.get()] {
    std::erase_if(
        idle_, [raw](const Connection& other) { return other.get() == raw; });
  });
  idle_.push_back(connection);
}

void BackendClient::Cancel(ExchangeId id) {
  const auto found = active_.find(id);
  if (found == active_.end()) return;
  const Connection connection = found->second;
  active_.erase(found);
  connection->Close();
}

void BackendClient::CheckReachable(std::function<void(bool)> on_result) {
  auto socket = std::make_shared<Tcp::socket>(loop_);
  auto timer = std::make_shared<Timer>(loop_);
  timer->Start(kConnectLimit, [socket] {
    boost::system::error_code ignored;
    socket->close(ignored);
  });
  socket->async_connect(endpoint_,
                        [socket, timer, on_result = std::move(on_result)](
                            const boost::system::error_code& error) {
                          timer->Cancel();
                          on_result(!error);
                        });
}

void BackendClient::CloseIdle() {
  const auto idle = std::exchange(idle_, {});
  for (const Connection& connection : idle) {
    connection->set_on_closed(nullptr);
    connection->Close();
  }
}

}  // namespace oleandertide::sidecar
