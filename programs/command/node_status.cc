#include "command/node_status.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

namespace oleandertide::command {
namespace {

constexpr std::chrono::milliseconds kConnectTimeout(500);
constexpr std::chrono::seconds kRequestTimeout(2);
constexpr std::size_t kMaximumBytes = std::size_t{1024} * 1024;
constexpr int kOk = 200;
// Nodes that do not answer cost a timeout each.
constexpr std::size_t kMaximumThreads = 16;

NodeStatus ReadNodeStatus(const Address& address) {
  NodeStatus status{address.ToString(), false, {}};
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

}  // namespace

std::vector<NodeStatus> ReadNodeStatuses(std::span<const Address> addresses) {
  std::vector<NodeStatus> statuses(addresses.size());
  std::atomic<std::size_t> next{0};
  const auto read_some = [&] {
    for (;;) {
      const std::size_t index = next++;
      if (index >= addresses.size()) return;
      statuses[index] = ReadNodeStatus(addresses[index]);
    }
  };
  std::vector<std::thread> threads(std::min(kMaximumThreads, addresses.size()));
  for (std::thread& thread : threads) thread = std::thread(read_some);
  for (std::thread& thread : threads) thread.join();
  return statuses;
}

}  // namespace oleandertide::command
