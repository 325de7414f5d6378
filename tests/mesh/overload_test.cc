#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <numbers>
#include <string>
#include <utility>

#include "fleet_replay.h"

namespace oleandertide::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Waves of clients that move from data centre to data centre within 17 s, over
// unequal backend servers with speeds from 0.5 to 1.7.
FleetReplay::Options MakeWaves(int count, int slots, double load) {
  FleetReplay::Options options;
  double capacity = 0;
  for (int i = 0; i < count; ++i) {
    const double base = 0.5 + 1.2 * ((i * 7) % count) / count;
    options.backend_servers.push_back(
        {.slots = slots, .slowness = [base](Duration) { return base; }});
    capacity += slots / (base * 0.21);
  }
  options.ingresses = 80;
  options.run = milliseconds(210);
  options.target = milliseconds(800);
  options.deadline = milliseconds(3000);
  options.client_retries = 1;
  options.duration = seconds(12);
  options.uses_pace = false;

  const auto wave = [](Duration since, double phase) {
    const double angle = std::chrono::duration<double>(since).count() / 17.0;
    return std::sin(2 * std::numbers::pi * (angle + phase));
  };
  options.rate = [=](Duration since) {
    return capacity * load * (1 + 0.3 * wave(since * 3, 0));
  };
  options.share = [=](Duration since, int centre) {
    return 1 + 0.9 * wave(since, centre / 4.0);
  };
  return options;
}

FleetReplay::Result Replay(FleetReplay::Options options, int seeds) {
  FleetReplay::Result total;
  for (int seed = 1; seed <= seeds; ++seed) {
    options.seed = static_cast<std::uint64_t>(seed);
    const auto result = FleetReplay(options, seconds(1), seconds(12)).Run();
    total.clients += result.clients;
    total.in_time += result.in_time;
    total.late += result.late;
    total.refused += result.refused;
    total.refusals_at_receivers += result.refusals_at_receivers;
    total.hops += result.hops;
    total.crossings += result.crossings;
    total.statuses += result.statuses;
    total.returns += result.returns;
    total.returns_in_vain += result.returns_in_vain;
    total.latency += result.latency;
  }
  return total;
}

std::string Describe(const FleetReplay::Result& result) {
  const auto percent = [&](int count, int of) {
    return std::to_string(100.0 * count / std::max(of, 1)) + " % ";
  };
  return "clients " + std::to_string(result.clients) + " in time " +
         percent(result.in_time, result.clients) + "late " +
         percent(result.late, result.clients) + "refused " +
         percent(result.refused, result.clients) + "refused at receivers " +
         percent(result.refusals_at_receivers, result.hops) + "crossed " +
         percent(result.crossings, result.hops) + "returns " +
         std::to_string(result.returns) + " in vain " +
         percent(result.returns_in_vain, result.returns) + "mean ms " +
         std::to_string(ToMilliseconds(
             result.latency / std::max(result.in_time + result.late, 1))) +
         " statuses " + std::to_string(result.statuses);
}

// Guards against 80 ingresses that send to the same few backend servers within
// one interval of reports: all compared with a sample of two.
TEST_CASE("overload replay: a sample avoids refusals at receivers", "[mesh]") {
  for (const auto& [count, slots] : {std::pair(12, 6), std::pair(39, 12)}) {
    for (const double load : {0.7, 0.9, 1.1}) {
      auto options = MakeWaves(count, slots, load);
      const auto all = Replay(options, 2);
      options.placement.sample = 2;
      const auto sample = Replay(options, 2);
      INFO(count << " backend servers, load " << load);
      INFO("all: " << Describe(all));
      INFO("sample: " << Describe(sample));
      CHECK(sample.refusals_at_receivers < all.refusals_at_receivers * 0.93);
      CHECK(sample.in_time > all.in_time * 0.995);
    }
  }
}

}  // namespace
}  // namespace oleandertide::mesh
