// Stand-in for a backend server: announces itself to the node beside it,
// answers requests after a service time, and records every run.
//
// Paths:
//   /crash...               ends the process at once, without an answer
//   /stand-in/control       PUT {"service_time_ms", "fail_health"}
//   /stand-in/leave         PUT: announces that it leaves
//   anything else           runs the request: 200 and a JSON body that repeats
//                           the request's key and body size
// Each run appends "KEY METHOD TARGET" to --runs_file before it is answered,
// so that the record outlives a crash.

#include <gflags/gflags.h>
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "http/client_pool.h"
#include "http/server.h"

DEFINE_string(listen, "127.0.0.1:0", "IP:port to serve");
DEFINE_string(node, "", "IP:port of the node's backend listener");
DEFINE_string(service, "booking", "service that it belongs to");
DEFINE_int32(slots, 12, "requests that run at a time");
DEFINE_int32(connections, 130, "connections that it takes");
DEFINE_int32(service_time_ms, 1, "time that a request runs");
DEFINE_int32(
    leave_time_ms, 300,
    "time for which it still serves after it announced that it leaves");
DEFINE_string(port_file, "", "file that receives the port");
DEFINE_string(runs_file, "", "file that receives a line for each run");

namespace oleandertide {
namespace {

constexpr std::chrono::milliseconds kAnnounceInterval(500);
constexpr std::size_t kMaximumAnswerBytes = 64 * kKibibyte;

class StandIn {
 public:
  StandIn() : service_time_ms_(FLAGS_service_time_ms) {
    if (!FLAGS_runs_file.empty()) {
      runs_.open(FLAGS_runs_file, std::ios::app);
    }
  }

  http::Response Handle(const http::Request& request,
                        const std::stop_token& cancelled) {
    if (request.path == "/stand-in/control") return Control(request);
    if (request.path == "/stand-in/leave") return Leave();
    return Run(request, cancelled);
  }

  // Tells the node about this backend server; false if it did not answer.
  bool Announce(http::ClientPool& node, const Address& own) const {
    http::Request request;
    request.method = "PUT";
    request.target = "/backend-server";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = nlohmann::json{{"service", FLAGS_service},
                                  {"address", own.ToString()},
                                  {"slots", FLAGS_slots},
                                  {"connections", FLAGS_connections},
                                  {"leaving", is_leaving_.load()}}
                       .dump();
    const auto deadline = MonotonicClock::now() + std::chrono::seconds(1);
    const auto outcome = node.Send(request, deadline, std::stop_token());
    return std::holds_alternative<http::Response>(outcome);
  }

  bool is_leaving() const { return is_leaving_; }
  void set_leaving() { is_leaving_ = true; }
  int running() const { return running_; }

 private:
  http::Response Control(const http::Request& request) {
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    if (json.is_discarded()) return {400, {}, "{}"};
    service_time_ms_ = json.value("service_time_ms", service_time_ms_.load());
    return {200, {}, "{}"};
  }

  http::Response Leave() {
    is_leaving_ = true;
    return {200, {}, "{}"};
  }

  http::Response Run(const http::Request& request,
                     const std::stop_token& cancelled) {
    const std::string key(http::FindHeader(request.headers, "Idempotency-Key"));
    Record(key, request);
    if (request.path.starts_with("/crash")) _exit(3);
    ++running_;
    const auto end = MonotonicClock::now() +
                     std::chrono::milliseconds(service_time_ms_.load());
    while (MonotonicClock::now() < end && !cancelled.stop_requested()) {
      const Duration rest = end - MonotonicClock::now();
      std::this_thread::sleep_for(
          std::min<Duration>(rest, std::chrono::milliseconds(10)));
    }
    --running_;
    const nlohmann::json body = {{"service", FLAGS_service},
                                 {"key", key},
                                 {"target", request.target},
                                 {"body_size", request.body.size()}};
    return {200, {}, body.dump()};
  }

  void Record(const std::string& key, const http::Request& request) {
    std::lock_guard lock(mutex_);
    if (!runs_.is_open()) return;
    runs_ << (key.empty() ? "-" : key) << ' ' << request.method << ' '
          << request.target << std::endl;
  }

  std::atomic<int> service_time_ms_;
  std::atomic<int> running_{0};
  std::atomic<bool> is_leaving_{false};
  std::mutex mutex_;
  std::ofstream runs_;
};

void WritePort(std::uint16_t port) {
  if (FLAGS_port_file.empty()) return;
  const std::string temporary = FLAGS_port_file + ".new";
  std::ofstream(temporary) << port << '\n';
  std::rename(temporary.c_str(), FLAGS_port_file.c_str());
}

int Main() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  const auto listen = Address::Parse(FLAGS_listen);
  if (!listen) return 2;
  StandIn stand_in;
  http::ServerOptions options;
  options.maximum_connections = static_cast<std::size_t>(FLAGS_connections);
  auto server = http::Server::Start(
      listen.value(), options,
      [&](const http::Request& request, const std::stop_token& cancelled) {
        return stand_in.Handle(request, cancelled);
      },
      [](int status) {
        return http::Response{status, {}, "{}"};
      });
  if (!server) return 1;
  Address own = listen.value();
  own.port = server.value()->port();
  WritePort(own.port);

  std::unique_ptr<http::ClientPool> node;
  if (const auto address = Address::Parse(FLAGS_node); address) {
    node = std::make_unique<http::ClientPool>(address.value(),
                                              kMaximumAnswerBytes);
  }
  const timespec interval{0,
                          std::chrono::nanoseconds(kAnnounceInterval).count()};
  bool is_stopping = false;
  while (!is_stopping || stand_in.running() > 0) {
    if (node) stand_in.Announce(*node, own);
    if (sigtimedwait(&signals, nullptr, &interval) > 0) {
      // A second signal ends the process at once.
      if (is_stopping) return 1;
      is_stopping = true;
      stand_in.set_leaving();
      if (node) stand_in.Announce(*node, own);
      // Requests that were already on their way still arrive.
      std::this_thread::sleep_for(
          std::chrono::milliseconds(FLAGS_leave_time_ms));
    }
  }
  return 0;
}

}  // namespace
}  // namespace oleandertide

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return oleandertide::Main();
}
