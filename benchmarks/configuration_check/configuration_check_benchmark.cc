// Time to check a configuration and to compare it with another, by number of
// routes. 10,000 routes are to take less than one second.

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "platform/checks/configuration_check.h"

namespace oleandertide::platform {
namespace {

// One service for each ten routes, one host and one organisation with two keys
// for each hundred. `last_kind` is the kind of the last route.
std::string MakeConfiguration(std::size_t routes, int timeout_ms,
                              std::string_view last_kind) {
  std::string services;
  std::string tenants;
  std::string hosts;
  for (std::size_t i = 0; i < routes; ++i) {
    if (i % 10 == 0) {
      services += fmt::format(
          R"({}{{"name":"s{}","health_path":"/h","max_connections":130}})",
          i == 0 ? "" : ",\n", i / 10);
    }
    if (i % 100 == 0) {
      tenants += fmt::format(
          R"({}{{"name":"o{}","api_keys":["a-{}","b-{}"],"rate_per_s":9}})",
          i == 0 ? "" : ",\n", i, i, i);
      hosts += fmt::format(R"({}{{"host":"h{}.example","paths":[)",
                           i == 0 ? "" : "]},\n", i / 100);
    }
    hosts += fmt::format(
        R"({}{{"name":"r{}","path_prefix":"/p{}/","kind":"{}",)"
        R"("timeout_ms":{},"target_latency_ms":300,"service":"s{}",)"
        R"("retry_attempts":2}})",
        i % 100 == 0 ? "" : ",\n", i, i,
        i + 1 == routes ? last_kind : "idempotent", timeout_ms, i / 10);
  }
  return fmt::format(R"({{"version":"r1","services":[{}],"tenants":[{}],)"
                     R"("virtual_hosts":[{}]}}]}})",
                     services, tenants, hosts);
}

void Check(benchmark::State& state, const std::string& text) {
  std::size_t count = 0;
  for (auto run : state) count = CheckConfiguration(text, {}).size();
  state.counters["findings"] = static_cast<double>(count);
}

void CheckClean(benchmark::State& state) {
  Check(state, MakeConfiguration(static_cast<std::size_t>(state.range(0)), 800,
                                 "idempotent"));
}

// Each route has a timeout below its target latency.
void CheckWithWarnings(benchmark::State& state) {
  Check(state, MakeConfiguration(static_cast<std::size_t>(state.range(0)), 200,
                                 "idempotent"));
}

void CheckWithError(benchmark::State& state) {
  Check(state, MakeConfiguration(static_cast<std::size_t>(state.range(0)), 800,
                                 "odd"));
}

void Compare(benchmark::State& state) {
  const auto routes = static_cast<std::size_t>(state.range(0));
  const std::string before = MakeConfiguration(routes, 800, "idempotent");
  const std::string after = MakeConfiguration(routes, 900, "idempotent");
  for (auto run : state) {
    benchmark::DoNotOptimize(CompareConfigurations(before, after));
  }
}

BENCHMARK(CheckClean)->Arg(1000)->Arg(10'000)->Unit(benchmark::kMillisecond);
BENCHMARK(CheckWithWarnings)->Arg(10'000)->Unit(benchmark::kMillisecond);
BENCHMARK(CheckWithError)->Arg(10'000)->Unit(benchmark::kMillisecond);
BENCHMARK(Compare)->Arg(10'000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace oleandertide::platform
