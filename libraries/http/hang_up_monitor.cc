#include "http/hang_up_monitor.h"

#include <poll.h>

#include <chrono>
#include <utility>
#include <vector>

namespace oleandertide::http {
namespace {

constexpr std::chrono::milliseconds kPollInterval(20);

// Looks without anything to watch before the thread sleeps. Sleeping at once
// would cost a wake-up for each request of a steady load.
constexpr int kIdleLooks = 50;

}  // namespace

HangUpMonitor::HangUpMonitor() : thread_([this] { Run(); }) {}

HangUpMonitor::~HangUpMonitor() {
  {
    std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void HangUpMonitor::Watch(int socket, std::stop_source request) {
  std::lock_guard lock(mutex_);
  watched_.emplace(socket, std::move(request));
  if (is_asleep_) changed_.notify_all();
}

void HangUpMonitor::Unwatch(int socket) {
  std::lock_guard lock(mutex_);
  watched_.erase(socket);
}

void HangUpMonitor::Run() {
  std::unique_lock lock(mutex_);
  int idle_looks = 0;
  while (!is_stopping_) {
    if (idle_looks >= kIdleLooks) {
      is_asleep_ = true;
      changed_.wait(lock, [this] { return is_stopping_ || !watched_.empty(); });
      is_asleep_ = false;
    }
    changed_.wait_for(lock, kPollInterval, [this] { return is_stopping_; });
    idle_looks = watched_.empty() ? idle_looks + 1 : 0;
    if (!watched_.empty()) CancelClosed();
  }
}

void HangUpMonitor::CancelClosed() {
  std::vector<pollfd> sockets;
  sockets.reserve(watched_.size());
  for (const auto& [socket, request] : watched_) {
    sockets.push_back({socket, POLLRDHUP, 0});
  }
  if (poll(sockets.data(), sockets.size(), 0) <= 0) return;
  for (const pollfd& socket : sockets) {
    if (socket.revents == 0) continue;
    const auto found = watched_.find(socket.fd);
    found->second.request_stop();
    watched_.erase(found);
  }
}

}  // namespace oleandertide::http
