#include "routing/quarantine.h"

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "core/hash.h"
#include "core/random.h"

namespace oleandertide::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1000)};
constexpr std::array<Fingerprint, 1> kCrashingRequest = {42};

// Guards against a crashing request that is still forwarded after two crashes,
// and against a request that is refused after one crash or two of one server.
TEST_CASE("two different backend servers quarantine for ten minutes") {
  Quarantine quarantine;
  quarantine.RecordCrash(kStart, kCrashingRequest, "10.0.0.1:80");
  quarantine.RecordCrash(kStart + seconds(60), kCrashingRequest, "10.0.0.1:80");
  REQUIRE_FALSE(quarantine.IsRefused(kStart + seconds(60), 42));
  quarantine.RecordCrash(kStart + seconds(90), kCrashingRequest, "10.0.0.2:80");
  REQUIRE(quarantine.IsRefused(kStart + seconds(90), 42));
  REQUIRE_FALSE(quarantine.IsRefused(kStart + seconds(90), 43));
  REQUIRE(quarantine.IsRefused(kStart + seconds(90) + minutes(9), 42));
  REQUIRE_FALSE(quarantine.IsRefused(kStart + seconds(90) + minutes(10), 42));
}

// Guards against a popular lookup that is refused because it is in flight at
// every crash.
TEST_CASE("a completion clears earlier crashes at all nodes") {
  Quarantine first;
  Quarantine second;
  first.RecordCrash(kStart, kCrashingRequest, "10.0.0.1:80");
  first.RecordCrash(kStart + seconds(1), kCrashingRequest, "10.0.0.2:80");
  const auto crashes = first.TakeReports(kStart + seconds(2), 100);
  REQUIRE(second.Merge(kStart + seconds(2), crashes) == 2);
  REQUIRE(second.IsRefused(kStart + seconds(2), 42));
  first.RecordCompletion(kStart + seconds(3), 42);
  REQUIRE_FALSE(first.IsRefused(kStart + seconds(3), 42));
  second.Merge(kStart + seconds(4),
               first.TakeReports(kStart + seconds(4), 100));
  REQUIRE_FALSE(second.IsRefused(kStart + seconds(4), 42));
  // Nodes may receive the old reports again.
  second.Merge(kStart + seconds(5), crashes);
  REQUIRE_FALSE(second.IsRefused(kStart + seconds(5), 42));

  Quarantine recently_completed;
  recently_completed.RecordCompletion(kStart - seconds(1), 42);
  recently_completed.RecordCrash(kStart, kCrashingRequest, "10.0.0.1:80");
  recently_completed.RecordCrash(kStart, kCrashingRequest, "10.0.0.2:80");
  REQUIRE_FALSE(recently_completed.IsRefused(kStart, 42));
}

// Guards against harmless requests that are refused for ten minutes because
// they were in flight with the crashing one at both crashes.
TEST_CASE("harmless requests in flight at the crashes are released early") {
  const std::array<Fingerprint, 3> in_flight = {7, 42, 99};
  Quarantine quarantine;
  quarantine.RecordCrash(kStart, in_flight, "10.0.0.1:80");
  quarantine.RecordCrash(kStart + seconds(1), in_flight, "10.0.0.2:80");
  const MonotonicTime last = kStart + seconds(1);
  std::vector<int> admitted_slots(3);
  for (int i = 0; i < 20; ++i) {
    int admitted = 0;
    for (std::size_t k = 0; k < in_flight.size(); ++k) {
      const bool is_admitted =
          !quarantine.IsRefused(last + seconds(i), in_flight[k]);
      admitted += is_admitted ? 1 : 0;
      admitted_slots[k] += is_admitted ? 1 : 0;
    }
    REQUIRE(admitted <= 1);  // Never two of them in the same slot.
  }
  REQUIRE(admitted_slots == std::vector<int>{5, 5, 5});

  // The cause crashes a third server in its trial slot; the others are
  // released.
  quarantine.RecordCrash(last + seconds(12), kCrashingRequest, "10.0.0.3:80");
  REQUIRE(quarantine.IsRefused(last + seconds(13), 42));
  REQUIRE_FALSE(quarantine.IsRefused(last + seconds(13), 7));
  REQUIRE_FALSE(quarantine.IsRefused(last + seconds(13), 99));
}

// Guards against memory use that grows with the number of crashing requests,
// and against reports that circulate forever.
TEST_CASE("quarantine and its reports are bounded") {
  Quarantine quarantine(3);
  for (Fingerprint i = 1; i <= 20'000; ++i) {
    const std::array<Fingerprint, 1> one = {i};
    quarantine.RecordCrash(kStart + Duration(i), one, "10.0.0.1:80");
  }
  REQUIRE(quarantine.size() == Quarantine::kMaximumFingerprints);
  std::size_t sent = 0;
  for (int i = 0; i < 1000; ++i) {
    sent += quarantine.TakeReports(kStart + seconds(1), 100).size();
  }
  REQUIRE(sent == 3 * Quarantine::kMaximumFingerprints);
}

// Simulates nodes that exchange reports with one random node every 500 ms. Each
// has a backend server that runs up to 4 requests concurrently. The nodes use
// their quarantines only if `is_enabled` is true.
class CrashingFleet {
 public:
  explicit CrashingFleet(bool is_enabled)
      : is_enabled_(is_enabled), nodes_(kNodes) {}

  // Advances the time by 100 ms and sends 20 harmless requests; returns the
  // number of refused ones.
  int Step() {
    now_ += milliseconds(100);
    if (now_.time_since_epoch() % milliseconds(500) == Duration(0)) Gossip();
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
      // Half of them are ten popular lookups; the others are unique.
      const Fingerprint request =
          i % 2 == 0 ? Hash64("popular", static_cast<std::uint64_t>(i))
                     : random_.Next();
      if (!Send(request, false)) ++refused;
    }
    return refused;
  }

  // Sends the request through a random node; returns false if it is refused.
  bool Send(Fingerprint request, bool is_crashing) {
    const std::size_t ingress = random_.Below(kNodes);
    if (is_enabled_ && nodes_[ingress].IsRefused(now_, request)) return false;
    const std::size_t receiver = random_.Below(kNodes);
    if (is_enabled_ && nodes_[receiver].IsRefused(now_, request)) return false;
    std::deque<Fingerprint>& running = running_[receiver];
    running.push_back(request);
    if (is_crashing) {
      crashed_.insert(receiver);
      const std::vector<Fingerprint> in_flight(running.begin(), running.end());
      nodes_[receiver].RecordCrash(now_, in_flight,
                                   "10.0.0." + std::to_string(receiver));
      running.clear();
    } else if (running.size() > 3) {
      nodes_[receiver].RecordCompletion(now_, running.front());
      running.pop_front();
    }
    return true;
  }

  std::size_t crashed_count() const { return crashed_.size(); }

 private:
  static constexpr std::size_t kNodes = 40;

  void Gossip() {
    for (Quarantine& node : nodes_) {
      Quarantine& partner = nodes_[random_.Below(kNodes)];
      if (&partner == &node) continue;
      partner.Merge(now_, node.TakeReports(now_, 200));
      node.Merge(now_, partner.TakeReports(now_, 200));
    }
  }

  bool is_enabled_;
  MonotonicTime now_ = kStart;
  RandomSource random_{17};
  std::vector<Quarantine> nodes_;
  std::array<std::deque<Fingerprint>, kNodes> running_;
  std::set<std::size_t> crashed_;
};

struct CrashingRun {
  std::size_t crashed_count;
  int refused;
};

// Sends the crashing request twenty times, every 5 s, through random nodes.
// Returns the numbers of crashed backend servers and refused harmless requests.
CrashingRun SendCrashingRequest(bool is_enabled) {
  CrashingFleet fleet(is_enabled);
  int refused = 0;
  for (int i = 0; i < 20; ++i) {
    for (int step = 0; step < 50; ++step) refused += fleet.Step();
    fleet.Send(42, true);
  }
  return {fleet.crashed_count(), refused};
}

// Guards against a request that crashes all backend servers because its caller
// repeats it, and against a quarantine that refuses other requests.
TEST_CASE("a crashing request sent twenty times crashes few backend servers") {
  REQUIRE(SendCrashingRequest(false).crashed_count > 10);
  const CrashingRun run = SendCrashingRequest(true);
  REQUIRE(run.crashed_count <= 3);
  REQUIRE(run.refused <= 10);  // Of 20,000.
}

// Records that a request has crashed six servers and that, as soon as they have
// restarted, another one crashes them one after the other. Returns the number
// of crashes until the second request is refused, or six if it is not.
int CountCrashesOfSecondRequest(bool reports_incarnations) {
  constexpr int kServers = 6;
  constexpr std::array<Fingerprint, 1> kFirst = {1};
  constexpr std::array<Fingerprint, 1> kSecond = {2};
  Quarantine quarantine;
  const auto address = [](int server) {
    return "10.0.0." + std::to_string(server) + ":80";
  };
  for (int server = 0; server < kServers; ++server) {
    quarantine.RecordCrash(kStart, kFirst, address(server),
                           reports_incarnations ? 1 : 0);
  }
  for (int server = 0; server < kServers; ++server) {
    const MonotonicTime now =
        kStart + milliseconds(1500) + milliseconds(300) * server;
    if (quarantine.IsRefused(now, kSecond.front())) return server;
    quarantine.RecordCrash(now, kSecond, address(server),
                           reports_incarnations ? 2 : 0);
  }
  return kServers;
}

// Guards against a crashing request that is not refused because another one
// crashed the servers at the same addresses shortly before.
TEST_CASE("a crash is attributed only to requests in flight at that crash") {
  REQUIRE(CountCrashesOfSecondRequest(false) == 6);
  REQUIRE(CountCrashesOfSecondRequest(true) == 2);
}

// Guards against harmless requests that are refused because one server crashes
// repeatedly.
TEST_CASE("restarts of one server do not count as different servers") {
  Quarantine quarantine;
  for (std::uint64_t start = 1; start <= 5; ++start) {
    quarantine.RecordCrash(kStart + seconds(start), kCrashingRequest,
                           "10.0.0.1:80", start);
  }
  REQUIRE_FALSE(quarantine.IsRefused(kStart + seconds(6), 42));
  quarantine.RecordCrash(kStart + seconds(7), kCrashingRequest, "10.0.0.2:80",
                         1);
  REQUIRE(quarantine.IsRefused(kStart + seconds(7), 42));
}

}  // namespace
}  // namespace oleandertide::routing
