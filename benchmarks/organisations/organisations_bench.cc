// Prints what a request costs with 0, 74 and 10,000 organisations: the look-up
// of its key with its rank and weight, and its way through the admission queue.

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "mesh/admission_queue.h"
#include "mesh/configuration.h"
#include "mesh/organisation_policy.h"
#include "organisations/share_tracker.h"

namespace oleandertide::mesh {
namespace {

constexpr int kRounds = 200'000;

std::string KeyOf(std::size_t organisation) {
  return fmt::format("key-of-organisation-{:016}", organisation);
}

Configuration MakeConfiguration(std::size_t organisations) {
  Configuration configuration;
  configuration.hosts["h"]["/a/"] =
      std::make_shared<Route>(Route{.name = "a", .path_prefix = "/a/"});
  for (std::size_t i = 0; i < organisations; ++i) {
    Organisation organisation{.name = fmt::format("organisation-{}", i),
                              .keys = {KeyOf(i)},
                              .priority = 1,
                              .rate = 1.0 + static_cast<double>(i % 50)};
    configuration.organisations[organisation.name] =
        std::make_shared<Organisation>(organisation);
  }
  configuration.keys = KeyIndex(configuration.organisations);
  return configuration;
}

// Returns the mean time of `run` in nanoseconds.
double Measure(const std::function<void(int)>& run) {
  const MonotonicTime start = MonotonicClock::now();
  for (int i = 0; i < kRounds; ++i) run(i);
  const std::chrono::duration<double, std::nano> elapsed =
      MonotonicClock::now() - start;
  return elapsed.count() / kRounds;
}

void Run(std::size_t organisations) {
  const Configuration configuration = MakeConfiguration(organisations);
  const OrganisationPolicy policy(configuration);
  const Route& route = *configuration.hosts.at("h").at("/a/");
  RandomSource random(1);
  std::vector<std::string> keys;
  constexpr int kKeys = 4096;
  keys.reserve(kKeys);
  for (int i = 0; i < kKeys; ++i) {
    keys.push_back(organisations == 0 ? std::string()
                                      : KeyOf(random.Below(organisations)));
  }
  double sum = 0;
  const double look_up = Measure([&](int i) {
    const std::string& key = keys[static_cast<std::size_t>(i) % keys.size()];
    const Organisation* holder = configuration.organisations.empty()
                                     ? nullptr
                                     : configuration.keys.Find(key);
    sum += policy.ChooseRank(route, holder, !key.empty()).priority +
           policy.ChooseWeight(holder);
  });
  organisations::ShareTracker shares;
  const double share = Measure([&](int i) {
    const std::string& key = keys[static_cast<std::size_t>(i) % keys.size()];
    const Organisation* holder = configuration.keys.Find(key);
    if (holder == nullptr) return;
    const MonotonicTime now{std::chrono::microseconds(i) * 600};
    if (shares.IsDisplaced(holder->name, holder->rate, now)) ++sum;
    shares.Record(holder->name, holder->rate, std::chrono::milliseconds(90),
                  now);
  });
  // Six slots, 40 requests that wait, and one more for each that starts.
  AdmissionQueue queue;
  queue.set_slots(6);
  const double queued = Measure([&](int i) {
    const std::string& key = keys[static_cast<std::size_t>(i) % keys.size()];
    const Organisation* holder = configuration.keys.Find(key);
    const MonotonicTime now{std::chrono::microseconds(i) * 100};
    const auto ticket = static_cast<std::uint64_t>(i);
    queue.Offer(now, ticket,
                {.priority = 1,
                 .wait_allowance = std::chrono::seconds(1),
                 .remaining = std::chrono::seconds(2),
                 .expected_run = std::chrono::milliseconds(1),
                 .organisation = holder == nullptr ? "" : holder->name,
                 .weight = policy.ChooseWeight(holder)});
    if (queue.waiting() < 40) return;
    queue.Finish(std::chrono::milliseconds(1), std::chrono::milliseconds(1),
                 true);
    AdmissionQueue::Dropped dropped;
    if (queue.StartNext(now, dropped)) ++sum;
  });
  fmt::print(
      "organisations={} look_up_ns={:.0f} share_ns={:.0f} queue_ns={:.0f} "
      "checksum={:.0f}\n",
      organisations, look_up, share, queued, sum);
}

}  // namespace
}  // namespace oleandertide::mesh

int main() {
  for (const std::size_t organisations : {0U, 74U, 10'000U}) {
    oleandertide::mesh::Run(organisations);
  }
}
