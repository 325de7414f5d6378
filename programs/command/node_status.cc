#include "command/node_status.h"

#include <httplib.h>

#include <chrono>

namespace oleandertide::command {
namespace {

constexpr std::chrono::milliseconds kConnectTimeout(500);
constexpr std::chrono::seconds kRequestTimeout(2);
constexpr std::size_t kMaximumBytes = std::size_t{1024} * 1024;
constexpr int kOk = 200;

}  // namespace

NodeStatus ReadNodeStatus(const config::Address& address) {
  NodeStatus status{config::ToString(address), false, {}};
  httplib::Client client(address.ip, address.port);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(kRequestTimeout);
  std::string body;
  const auto answer =
      client.Get("/status", [&body](const char* data, std::size_t size) {
        body.append(data, size);
        return body.size() <= kMaximumBytes;
      });
  if (!answer) return status;
  status.is_reachable = true;
  if (answer->status == kOk) status.body = std::move(body);
  return status;
}

}  // namespace oleandertide::command
