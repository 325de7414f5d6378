// Cost of choosing the route of a request, by number of routes.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/document.h"
#include "config/snapshot.h"
#include "config/snapshot_holder.h"

namespace oleandertide::config {
namespace {

constexpr std::string_view kDigest = "99aa06d3014798d86001c324468d497f";

// Routes are /area-N/item-M, ten items to an area.
std::string RoutePath(std::size_t index) {
  return "/area-" + std::to_string(index / 10) + "/item-" +
         std::to_string(index % 10);
}

std::unique_ptr<const Snapshot> MakeSnapshot(std::size_t routes) {
  std::string text = "[document]\nformat = 1\n[service s]\n";
  for (std::size_t i = 0; i < routes; ++i) {
    text += "[route r" + std::to_string(i) +
            "]\nservice = s\npath = " + RoutePath(i) +
            "\nmethods = GET, POST\nclass = lookup\n";
  }
  auto document = Document::Parse(text, "benchmark.ini");
  if (!document) std::abort();
  return Snapshot::Compile(1, kDigest, std::move(document).value()).value();
}

std::vector<std::string> MakeRequests(std::size_t routes) {
  std::vector<std::string> requests;
  requests.reserve(routes);
  for (std::size_t i = 0; i < routes; ++i) {
    // The factor spreads consecutive requests over the routes.
    requests.push_back(RoutePath(i * 7919 % routes) + "/slots/17?day=2");
  }
  return requests;
}

// Baseline: compares the path with every route.
const Route* FindByScan(const Snapshot& snapshot, std::string_view method,
                        std::string_view path) {
  const auto parsed = ParseMethod(method);
  path = path.substr(0, path.find_first_of("?#"));
  const Route* best = nullptr;
  for (const Route& route : snapshot.routes()) {
    const std::string_view prefix = route.path;
    if (path.starts_with(prefix) &&
        (path.size() == prefix.size() || path[prefix.size()] == '/') &&
        (best == nullptr || prefix.size() > best->path.size()) &&
        std::find(route.methods.begin(), route.methods.end(), *parsed) !=
            route.methods.end()) {
      best = &route;
    }
  }
  return best;
}

template <typename Find>
void Run(benchmark::State& state, Find find) {
  const auto routes = static_cast<std::size_t>(state.range(0));
  SnapshotHolder holder;
  if (!holder.Publish(MakeSnapshot(routes))) std::abort();
  const std::vector<std::string> requests = MakeRequests(routes);
  std::size_t next = 0;
  for (auto iteration : state) {
    const SnapshotReader reader(holder);
    const Route* route = find(*reader.snapshot(), requests[next]);
    if (route == nullptr) std::abort();
    benchmark::DoNotOptimize(route);
    next = next + 1 == requests.size() ? 0 : next + 1;
  }
}

void FindRoute(benchmark::State& state) {
  Run(state, [](const Snapshot& snapshot, std::string_view path) {
    return snapshot.FindRoute("POST", path);
  });
}

void FindRouteByScan(benchmark::State& state) {
  Run(state, [](const Snapshot& snapshot, std::string_view path) {
    return FindByScan(snapshot, "POST", path);
  });
}

void ParseAndCompile(benchmark::State& state) {
  for (auto iteration : state) {
    benchmark::DoNotOptimize(
        MakeSnapshot(static_cast<std::size_t>(state.range(0))));
  }
}

BENCHMARK(FindRoute)->Arg(10)->Arg(100)->Arg(1100);
BENCHMARK(FindRouteByScan)->Arg(10)->Arg(100)->Arg(1100);
BENCHMARK(ParseAndCompile)->Arg(10)->Arg(100)->Arg(1100);

}  // namespace
}  // namespace oleandertide::config
