#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "metrics/registry.h"

namespace oleandertide::metrics {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1000)};

// Guards against two metrics under one name, and references that move.
TEST_CASE("a metric is registered once") {
  Registry registry;
  Counter& first = registry.RegisterCounter("a_total", "A.");
  for (int i = 0; i < 100; ++i) {
    registry.RegisterCounter("a_total", "A.", Label{"n", std::to_string(i)});
  }
  REQUIRE(&registry.RegisterCounter("a_total", "A.") == &first);
}

// Guards against text that a Prometheus server refuses.
TEST_CASE("metrics are written in the Prometheus text format") {
  Registry registry;
  constexpr std::array<std::string_view, 2> kReasons = {"shed", "queue-full"};
  const auto refused = registry.RegisterCounters(
      "refused_total", "Refused calls.", "reason", kReasons);
  refused[1]->Add(3);
  registry
      .RegisterGauge("standing", "Line\nbreak \\ \"quote\"",
                     Label{"s", "a\"b\\c\nd"})
      .set_value(0.25);
  LatencyAccumulator& latency =
      registry.RegisterLatency("call_seconds", "Latency.", Label{"c", "x"});
  latency.Record(milliseconds(500), kStart);
  registry.RegisterLatency("idle_seconds", "Idle.");
  REQUIRE(registry.ToPrometheusText(kStart) ==
          R"(# HELP call_seconds Latency.
# TYPE call_seconds summary
call_seconds{c="x",quantile="0.5"} 0.5
call_seconds{c="x",quantile="0.99"} 0.5
call_seconds_sum{c="x"} 0.5
call_seconds_count{c="x"} 1
# HELP call_seconds_mean Latency.
# TYPE call_seconds_mean gauge
call_seconds_mean{c="x"} 0.5
# HELP call_seconds_maximum Latency.
# TYPE call_seconds_maximum gauge
call_seconds_maximum{c="x"} 0.5
# HELP idle_seconds Idle.
# TYPE idle_seconds summary
idle_seconds{quantile="0.5"} NaN
idle_seconds{quantile="0.99"} NaN
idle_seconds_sum 0
idle_seconds_count 0
# HELP idle_seconds_mean Idle.
# TYPE idle_seconds_mean gauge
idle_seconds_mean NaN
# HELP idle_seconds_maximum Idle.
# TYPE idle_seconds_maximum gauge
idle_seconds_maximum NaN
# HELP refused_total Refused calls.
# TYPE refused_total counter
refused_total{reason="queue-full"} 3
refused_total{reason="shed"} 0
# HELP standing Line\nbreak \\ "quote"
# TYPE standing gauge
standing{s="a\"b\\c\nd"} 0.25
)");
}

// Guards against quantiles of few latencies, which P² cannot estimate.
TEST_CASE("quantiles of few latencies are exact") {
  LatencyAccumulator latency;
  for (int i = 1; i <= 50; ++i) latency.Record(milliseconds(i), kStart);
  const LatencySummary summary = latency.Summarize(kStart);
  REQUIRE(summary.recent_count == 50);
  REQUIRE(summary.mean == Duration(25500));
  REQUIRE(summary.maximum == Duration(50000));
  REQUIRE(std::abs(summary.p50.count() - 25000) <= 1);
  REQUIRE(std::abs(summary.p99.count() - 49500) <= 500);
}

// Guards against shards that are merged wrongly: a plain average of the
// shards' quantiles would be far off when threads see different latencies.
TEST_CASE("quantiles of unlike threads are merged") {
  constexpr std::uint64_t kPerThread = 20'000;
  LatencyAccumulator latency;
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&latency, i] {
      std::mt19937 engine(static_cast<unsigned>(i));
      // One thread in eight is ten times as slow.
      std::uniform_int_distribution<int> uniform(0, i == 0 ? 100'000 : 10'000);
      for (std::uint64_t n = 0; n < kPerThread; ++n) {
        latency.Record(Duration(uniform(engine)), kStart);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const LatencySummary summary = latency.Summarize(kStart);
  REQUIRE(summary.count == 8 * kPerThread);
  // Up to x <= 10,000 µs, the share is (7/8)(x/10,000) + (1/8)(x/100,000);
  // above, it is 7/8 + (1/8)(x/100,000).
  REQUIRE(static_cast<double>(summary.p50.count()) ==
          Approx(5634).epsilon(.03));
  REQUIRE(static_cast<double>(summary.p99.count()) ==
          Approx(92'000).epsilon(.03));
}

// Guards against figures of a past overload that stay for ever.
TEST_CASE("recent figures forget old windows") {
  LatencyAccumulator latency;
  latency.Record(seconds(9), kStart);
  latency.Record(milliseconds(1), kStart + kLatencyWindow);
  REQUIRE(latency.Summarize(kStart + kLatencyWindow).maximum == seconds(9));
  const LatencySummary later = latency.Summarize(kStart + 2 * kLatencyWindow);
  REQUIRE(later.maximum == milliseconds(1));
  REQUIRE(later.count == 2);
  REQUIRE(latency.Summarize(kStart + 9 * kLatencyWindow).recent_count == 0);
}

// Guards against updates that are lost between threads.
TEST_CASE("counters and gauges count every update") {
  Registry registry;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&registry] {
      Counter& counter = registry.RegisterCounter("c_total", "C.");
      Gauge& gauge = registry.RegisterGauge("g", "G.");
      for (int n = 0; n < 10'000; ++n) {
        counter.Add();
        gauge.Add(n % 2 == 0 ? 1 : -1);
      }
      static_cast<void>(registry.ToPrometheusText(kStart));
    });
  }
  for (std::thread& thread : threads) thread.join();
  REQUIRE(registry.RegisterCounter("c_total", "C.").value() == 40'000);
  REQUIRE(registry.RegisterGauge("g", "G.").value() == 0);
}

}  // namespace
}  // namespace oleandertide::metrics
