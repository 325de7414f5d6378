// Stand-in for callers: sends requests at a stated rate to a list of servers
// (nodes, or backend servers for comparison) and prints one JSON object with
// outcomes, reasons and latencies. Latency counts from the time at which a
// request was due, so that a slow server cannot hide its delay.

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "http/client_pool.h"

DEFINE_string(servers, "", "comma-separated IP:port list, used in turn");
DEFINE_double(rate, 100, "requests a second");
DEFINE_double(seconds, 2, "duration");
DEFINE_int32(threads, 16, "requests in flight at most");
DEFINE_string(method, "GET", "request method");
DEFINE_string(path, "/", "request target");
DEFINE_string(body, "", "request body");
DEFINE_string(key_prefix, "",
              "sends Idempotency-Key PREFIX-NUMBER if not empty");
DEFINE_int32(deadline_ms, 2000, "deadline of each request");
DEFINE_string(log_file, "", "receives a line 'KEY STATUS OUTCOME REASON' each");

namespace oleandertide {
namespace {

constexpr std::size_t kMaximumAnswerBytes = 4 * kMebibyte;

struct Sample {
  Duration latency{0};
  std::string outcome;
  std::string reason;
  int status = 0;
};

class Load {
 public:
  explicit Load(std::vector<std::unique_ptr<http::ClientPool>> servers)
      : servers_(std::move(servers)),
        total_(static_cast<std::uint64_t>(FLAGS_rate * FLAGS_seconds)),
        start_(MonotonicClock::now()) {
    if (!FLAGS_log_file.empty()) log_.open(FLAGS_log_file, std::ios::app);
  }

  void Run() {
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(FLAGS_threads));
    for (int i = 0; i < FLAGS_threads; ++i) {
      threads.emplace_back([this] { SendInTurn(); });
    }
    for (std::thread& thread : threads) thread.join();
  }

  nlohmann::json Report() {
    std::vector<Duration> latencies;
    std::map<std::string, int> outcomes;
    std::map<std::string, int> reasons;
    for (const Sample& sample : samples_) {
      ++outcomes[sample.outcome];
      if (!sample.reason.empty()) ++reasons[sample.reason];
      if (sample.outcome == "complete") latencies.push_back(sample.latency);
    }
    std::sort(latencies.begin(), latencies.end());
    const auto quantile = [&](double share) -> double {
      if (latencies.empty()) return 0;
      const auto index = static_cast<std::size_t>(
          share * static_cast<double>(latencies.size() - 1));
      return static_cast<double>(latencies[index].count()) / 1000.0;
    };
    const double seconds =
        static_cast<double>((MonotonicClock::now() - start_).count()) / 1e6;
    return {{"sent", samples_.size()},
            {"seconds", seconds},
            {"outcomes", outcomes},
            {"reasons", reasons},
            {"latency_ms",
             {{"p50", quantile(0.5)},
              {"p90", quantile(0.9)},
              {"p99", quantile(0.99)},
              {"maximum", quantile(1.0)}}}};
  }

 private:
  void SendInTurn() {
    const Duration interval(static_cast<std::int64_t>(1e6 / FLAGS_rate));
    for (;;) {
      const std::uint64_t number = next_++;
      if (number >= total_) return;
      const MonotonicTime due =
          start_ + interval * static_cast<std::int64_t>(number);
      std::this_thread::sleep_for(due - MonotonicClock::now());
      SendOne(number, due);
    }
  }

  void SendOne(std::uint64_t number, MonotonicTime due) {
    http::Request request;
    request.method = FLAGS_method;
    request.target = FLAGS_path;
    request.body = FLAGS_body;
    std::string key = "-";
    request.headers.emplace_back("Oleandertide-Deadline-Milliseconds",
                                 std::to_string(FLAGS_deadline_ms));
    if (!FLAGS_key_prefix.empty()) {
      key = FLAGS_key_prefix + "-" + std::to_string(number);
      request.headers.emplace_back("Idempotency-Key", key);
    }
    const MonotonicTime deadline =
        MonotonicClock::now() + std::chrono::milliseconds(FLAGS_deadline_ms);
    const auto outcome = servers_[number % servers_.size()]->Send(
        request, deadline, std::stop_token());
    Sample sample = Classify(outcome);
    sample.latency = MonotonicClock::now() - due;

    std::lock_guard lock(mutex_);
    if (log_.is_open()) {
      log_ << key << ' ' << sample.status << ' ' << sample.outcome << ' '
           << (sample.reason.empty() ? "-" : sample.reason) << '\n';
    }
    samples_.push_back(std::move(sample));
  }

  static Sample Classify(const http::SendOutcome& outcome) {
    Sample sample;
    if (const auto* failure = std::get_if<http::Failure>(&outcome)) {
      const bool was_sent = *failure != http::Failure::kConnectFailed;
      sample.outcome = was_sent ? "lost" : "unreachable";
      return sample;
    }
    const auto& response = std::get<http::Response>(outcome);
    sample.status = response.status;
    sample.outcome = "complete";
    const auto type = http::FindHeader(response.headers, "Content-Type");
    if (type.starts_with("application/problem+json")) {
      const auto problem = nlohmann::json::parse(response.body, nullptr, false);
      sample.outcome = problem.value("outcome", "unreadable");
      sample.reason = problem.value("reason", "");
    }
    return sample;
  }

  const std::vector<std::unique_ptr<http::ClientPool>> servers_;
  const std::uint64_t total_;
  const MonotonicTime start_;
  std::atomic<std::uint64_t> next_{0};
  std::mutex mutex_;
  std::vector<Sample> samples_;
  std::ofstream log_;
};

int Main() {
  std::vector<std::unique_ptr<http::ClientPool>> servers;
  std::stringstream list(FLAGS_servers);
  for (std::string item; std::getline(list, item, ',');) {
    const auto address = Address::Parse(item);
    if (!address) {
      std::cerr << "--servers: '" << item << "' is not IP:port\n";
      return 2;
    }
    servers.push_back(std::make_unique<http::ClientPool>(address.value(),
                                                         kMaximumAnswerBytes));
  }
  if (servers.empty() || FLAGS_rate <= 0) {
    std::cerr << "--servers and a positive --rate are required\n";
    return 2;
  }
  Load load(std::move(servers));
  load.Run();
  std::cout << load.Report().dump() << '\n';
  return 0;
}

}  // namespace
}  // namespace oleandertide

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return oleandertide::Main();
}
