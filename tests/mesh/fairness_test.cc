// Shares of organisations and of calls of backend servers in the slots.

#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "mesh/admission_queue.h"
#include "mesh/attempt_policy.h"
#include "mesh/unshared_queue.h"
#include "support/property.h"

namespace oleandertide::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = AdmissionQueue::Verdict;

constexpr MonotonicTime kStart{seconds(100)};

// Offers the same random requests without organisation to both queues and
// returns whether they always decide alike.
bool BehavesAsBefore(std::uint64_t seed) {
  RandomSource random(seed);
  AdmissionQueue queue;
  UnsharedQueue before;
  struct Run {
    std::uint64_t ticket;
    Duration time;
  };
  std::vector<Run> running;
  // Tickets of calls of backend servers.
  std::set<std::uint64_t> calls;
  MonotonicTime now = kStart;
  const int slots = static_cast<int>(1 + random.Below(12));
  queue.set_slots(slots);
  before.set_slots(slots);
  const auto start = [&] {
    AdmissionQueue::Dropped dropped;
    UnsharedQueue::Dropped dropped_before;
    for (;;) {
      const auto next = queue.StartNext(now, dropped);
      if (next != before.StartNext(now, dropped_before)) return false;
      if (!next) break;
      running.push_back({*next, milliseconds(5 + random.Below(300))});
    }
    return dropped.expired == dropped_before.expired &&
           dropped.passed_over == dropped_before.passed_over;
  };
  for (std::uint64_t ticket = 1; ticket <= 600; ++ticket) {
    now += milliseconds(random.Below(20));
    switch (random.Below(6)) {
      case 0: {
        const auto dropped = queue.DropLateRequests(now);
        const auto dropped_before = before.DropLateRequests(now);
        if (dropped.expired != dropped_before.expired) return false;
        if (dropped.passed_over != dropped_before.passed_over) return false;
        break;
      }
      case 1: {
        const std::uint64_t other = ticket - random.Below(ticket);
        if (queue.Remove(other) != before.Remove(other)) return false;
        break;
      }
      case 2:
      case 3: {
        if (running.empty()) break;
        const auto position = running.begin() + random.Below(running.size());
        const Duration expected = milliseconds(random.Below(2) * 80);
        queue.Finish(position->time, expected, true,
                     calls.contains(position->ticket));
        before.Finish(position->time, expected, true);
        running.erase(position);
        if (!start()) return false;
        break;
      }
      default: {
        const int priority = static_cast<int>(random.Below(5)) - 1;
        const Duration allowance = milliseconds(random.Below(500));
        const Duration remaining = allowance + milliseconds(random.Below(300));
        const Duration expected = milliseconds(random.Below(3) * 60);
        if (priority == 1) calls.insert(ticket);
        const auto verdict =
            queue.Offer(now, ticket,
                        {.priority = priority,
                         .wait_allowance = allowance,
                         .remaining = remaining,
                         .expected_run = expected,
                         .is_backend_server_call = priority == 1});
        const auto verdict_before = before.Offer(now, ticket,
                                                 {.priority = priority,
                                                  .wait_allowance = allowance,
                                                  .remaining = remaining,
                                                  .expected_run = expected});
        if (static_cast<int>(verdict) != static_cast<int>(verdict_before)) {
          return false;
        }
        if (verdict == Verdict::kStart) {
          running.push_back({ticket, milliseconds(5 + random.Below(300))});
        }
        break;
      }
    }
    if (!(queue.load() == before.load())) return false;
  }
  return queue.RemoveAll() == before.RemoveAll();
}

// Guards against a change for deployments whose configuration has no
// organisations.
TEST_CASE("without organisations the queue decides as before") {
  REQUIRE(testing::HoldsForSeeds("decides as before", 200, BehavesAsBefore));
}

// What became of the requests of one organisation.
struct Share {
  double weight = 1;
  double rate = 0;
  int offered = 0;
  int served = 0;

  double served_share() const { return 1.0 * served / std::max(offered, 1); }
};

struct SharedOverload {
  std::vector<Share> shares;
  std::size_t flood = 0;
  bool is_work_conserving = true;
};

// Simulates 30 s of a backend server with 6 slots and 12 organisations of
// unequal size that need 75% of its capacity of 66 requests a second, but for
// one that sends 8 times its usual rate. Without `is_fair`, the queue does not
// tell organisations apart.
SharedOverload SimulateFlood(std::uint64_t seed, std::size_t flood,
                             bool is_fair) {
  constexpr int kSlots = 6;
  constexpr Duration kRun = milliseconds(90);
  constexpr Duration kAllowance = milliseconds(310);
  constexpr double kUsual = 50;
  constexpr double kSkew = 1.2;
  constexpr double kFlood = 8;
  RandomSource random(seed);
  SharedOverload result;
  result.shares.resize(12);
  double sum = 0;
  for (std::size_t i = 0; i < result.shares.size(); ++i) {
    sum += std::pow(static_cast<double>(i + 1), -kSkew);
  }
  for (std::size_t i = 0; i < result.shares.size(); ++i) {
    result.shares[i].rate =
        kUsual * std::pow(static_cast<double>(i + 1), -kSkew) / sum;
    result.shares[i].weight = result.shares[i].rate * 1.6;
  }
  result.flood = flood;
  result.shares[result.flood].rate *= kFlood;
  std::multimap<MonotonicTime, std::size_t> arrivals;
  for (std::size_t i = 0; i < result.shares.size(); ++i) {
    const int count = static_cast<int>(result.shares[i].rate * 30);
    for (int n = 0; n < count; ++n) {
      arrivals.emplace(kStart + random.Between(Duration(0), seconds(30)), i);
    }
  }
  AdmissionQueue queue;
  queue.set_slots(kSlots);
  std::map<AdmissionQueue::Ticket, std::size_t> holders;
  std::multimap<MonotonicTime, Duration> ends;
  AdmissionQueue::Ticket ticket = 0;
  const auto start = [&](AdmissionQueue::Ticket next, MonotonicTime now) {
    const Duration run = random.Between(kRun / 2, kRun * 3 / 2);
    ends.emplace(now + run, run);
    ++result.shares[holders.at(next)].served;
  };
  while (!arrivals.empty()) {
    if (!ends.empty() && ends.begin()->first <= arrivals.begin()->first) {
      const auto [now, run] = *ends.begin();
      ends.erase(ends.begin());
      queue.Finish(run, kRun, true);
      AdmissionQueue::Dropped dropped;
      while (const auto next = queue.StartNext(now, dropped)) start(*next, now);
      queue.DropLateRequests(now);
      if (queue.running() < kSlots && queue.waiting() > 0) {
        result.is_work_conserving = false;
      }
      continue;
    }
    const auto [now, i] = *arrivals.begin();
    arrivals.erase(arrivals.begin());
    Share& share = result.shares[i];
    ++share.offered;
    holders[++ticket] = i;
    const int running = queue.running();
    const auto verdict = queue.Offer(
        now, ticket,
        {.priority = 1,
         .wait_allowance = kAllowance,
         .remaining = milliseconds(2000),
         .expected_run = kRun,
         .organisation = is_fair ? "organisation" + std::to_string(i) : "",
         .weight = share.weight});
    if (verdict == Verdict::kStart) start(ticket, now);
    if (verdict == Verdict::kReject && running < kSlots) {
      result.is_work_conserving = false;
    }
  }
  return result;
}

// Guards against one organisation that sends many times its usual rate and so
// takes the share of the others.
TEST_CASE("an organisation beyond its share gets only what others leave") {
  const bool holds =
      testing::HoldsForSeeds("shares hold", 30, [](std::uint64_t seed) {
        const SharedOverload result = SimulateFlood(seed, seed % 4, true);
        if (!result.is_work_conserving) return false;
        int served = 0;
        for (std::size_t i = 0; i < result.shares.size(); ++i) {
          const Share& share = result.shares[i];
          served += share.served;
          if (i == result.flood) continue;
          // An organisation that sends one request a second is beyond its share
          // for the time of two that come together.
          const double least = share.rate > 2 ? 0.8 : 0.55;
          if (share.served_share() < least) return false;
        }
        // The slots are not left empty: 66 requests a second fill them.
        return served > 30 * 66 * 90 / 100;
      });
  REQUIRE(holds);
  // Without shares, the others lose as much as the one that floods.
  const SharedOverload unfair = SimulateFlood(1, 0, false);
  for (std::size_t i = 1; i < 6; ++i) {
    REQUIRE(unfair.shares[i].served_share() < 0.6);
  }
}

// Guards against credit for the time in which an organisation sent nothing:
// it would keep the others from the slots until the credit is used up.
TEST_CASE("an organisation that was idle starts with no credit") {
  FairQueue queue;
  for (int i = 0; i < 50; ++i) queue.Charge("busy", 1, milliseconds(100));
  std::uint64_t arrival = 0;
  const auto add = [&](const std::string& organisation) {
    const FairQueue::Position position{organisation,
                                       {kStart + seconds(1), arrival}};
    queue.Add(position, 1, {.ticket = arrival});
    ++arrival;
  };
  for (int i = 0; i < 10; ++i) add("busy");
  for (int i = 0; i < 10; ++i) add("new");
  int busy_starts = 0;
  for (int i = 0; i < 10; ++i) {
    const auto next = queue.FindNext(kStart, Duration(0));
    if (next.organisation == "busy") ++busy_starts;
    queue.Charge(next.organisation, 1, milliseconds(100));
    queue.Remove(next);
  }
  REQUIRE(busy_starts >= 4);
  REQUIRE(busy_starts <= 6);
}

// Guards against state that grows with the number of organisations.
TEST_CASE("the queue remembers a bounded number of organisations") {
  FairQueue queue;
  for (int i = 0; i < 10'000; ++i) {
    queue.Charge("organisation" + std::to_string(i), 1, seconds(10));
  }
  REQUIRE(queue.flow_count() <= 1024);
}

// What became of the load on `provas`.
struct Replay {
  double checks_in_time = 0;
  double downloads_served = 0;
};

// Replays 20 s of the load on `provas`: five backend servers with 6 slots and
// unequal speeds run 585 checks a second of 22 ms with a deadline of 250 ms,
// and `downloads` a second of 72 ms, which also hold their slot while they
// wait `callee_wait` for calls of their own. A refused request is sent to one
// more backend server.
Replay ReplayProvas(std::uint64_t seed, int downloads, Duration callee_wait,
                    bool reserves, int check_rank) {
  constexpr int kSlots = 6;
  constexpr int kChecks = 585;
  constexpr Duration kLength = seconds(20);
  constexpr Duration kCheckRun = milliseconds(22);
  constexpr Duration kCheckLimit = milliseconds(250);
  constexpr Duration kDownloadRun = milliseconds(72);
  constexpr Duration kDownloadLimit = milliseconds(4000);
  const std::vector<double> slowness{0.5, 0.75, 1, 1.25, 1.5};
  struct Server {
    AdmissionQueue queue;
  };
  struct Item {
    MonotonicTime arrived;
    bool is_check;
    std::size_t server;
    Duration run;
  };
  RandomSource random(seed);
  std::vector<Server> servers(slowness.size());
  for (Server& server : servers) {
    server.queue.set_slots(kSlots);
    server.queue.set_reserves_slots(reserves);
  }
  std::multimap<MonotonicTime, bool> arrivals;
  for (int i = 0; i < kChecks * 20; ++i) {
    arrivals.emplace(kStart + random.Between(Duration(0), kLength), true);
  }
  for (int i = 0; i < downloads * 20; ++i) {
    arrivals.emplace(kStart + random.Between(Duration(0), kLength), false);
  }
  std::map<AdmissionQueue::Ticket, Item> items;
  std::multimap<MonotonicTime, AdmissionQueue::Ticket> ends;
  AdmissionQueue::Ticket ticket = 0;
  int checks = 0;
  int served = 0;
  const auto start = [&](AdmissionQueue::Ticket next, MonotonicTime now) {
    Item& item = items.at(next);
    const Duration mean = item.is_check ? kCheckRun : kDownloadRun;
    const double factor = slowness[item.server] * (0.5 + random.Unit());
    item.run = Duration(
        static_cast<std::int64_t>(static_cast<double>(mean.count()) * factor));
    if (!item.is_check) item.run += callee_wait;
    ends.emplace(now + item.run, next);
  };
  while (!arrivals.empty() || !ends.empty()) {
    if (!ends.empty() &&
        (arrivals.empty() || ends.begin()->first <= arrivals.begin()->first)) {
      const auto [now, done] = *ends.begin();
      ends.erase(ends.begin());
      const Item& item = items.at(done);
      if (!item.is_check) ++served;
      if (item.is_check && now - item.arrived <= kCheckLimit) ++checks;
      AdmissionQueue& queue = servers[item.server].queue;
      queue.Finish(item.run, item.is_check ? kCheckRun : kDownloadRun, true,
                   item.is_check);
      AdmissionQueue::Dropped dropped;
      while (const auto next = queue.StartNext(now, dropped)) start(*next, now);
      queue.DropLateRequests(now);
      continue;
    }
    const auto [now, is_check] = *arrivals.begin();
    arrivals.erase(arrivals.begin());
    std::optional<std::size_t> tried;
    for (int hop = 0; hop < 2; ++hop) {
      std::optional<std::size_t> best;
      double lowest = 0;
      for (std::size_t i = 0; i < servers.size(); ++i) {
        if (tried == i) continue;
        const auto load = servers[i].queue.load();
        const double cost =
            (load.running + load.waiting_before(is_check ? check_rank : 2)) *
                slowness[i] +
            random.Unit();
        if (best && cost >= lowest) continue;
        best = i;
        lowest = cost;
      }
      items[++ticket] = {now, is_check, *best, {}};
      const Duration limit = is_check ? kCheckLimit : kDownloadLimit;
      const Duration run = is_check ? kCheckRun : kDownloadRun;
      const auto verdict = servers[*best].queue.Offer(
          now, ticket,
          {.priority = is_check ? check_rank : 2,
           .wait_allowance = ChooseMaxWait(
               {.priority = 1,
                .is_backend_server_call = is_check,
                .target_latency = milliseconds(is_check ? 100 : 500),
                .remaining = limit,
                .expected_run = run}),
           .remaining = limit,
           .expected_run = run,
           .organisation = is_check ? "" : "organisation",
           .is_backend_server_call = is_check});
      if (verdict == Verdict::kStart) start(ticket, now);
      if (verdict != Verdict::kReject) break;
      tried = best;
    }
  }
  return {.checks_in_time = checks / (kChecks * 20.0),
          .downloads_served = served / (downloads * 20.0)};
}

// Guards against requests of clients that fill all slots while they wait for
// calls of their own: calls to the same service then wait or are refused, and
// with them fail the requests that hold slots elsewhere.
TEST_CASE(
    "calls of backend servers find slots where clients' work fills them") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    for (const int callee_ms : {300, 800}) {
      const auto replay = [&](bool reserves) {
        return ReplayProvas(seed, 135, milliseconds(callee_ms), reserves, 0);
      };
      const Replay with = replay(true);
      const Replay without = replay(false);
      CAPTURE(seed, callee_ms, with.checks_in_time, without.checks_in_time);
      REQUIRE(with.checks_in_time > (callee_ms == 300 ? 0.995 : 0.97));
      // Three quarters of the calls that were lost are answered.
      REQUIRE(1 - with.checks_in_time < (1 - without.checks_in_time) / 4);
    }
  }
}

// Guards against calls of backend servers that wait for their turn among
// clients' requests: these have to be refused first.
TEST_CASE("requests of clients are refused before calls of backend servers") {
  const Replay replay = ReplayProvas(4, 400, milliseconds(30), true, 0);
  REQUIRE(replay.checks_in_time > 0.999);
  REQUIRE(replay.downloads_served < 0.7);
  // With the rank of the downloads, calls are lost under the same load.
  const Replay same_rank = ReplayProvas(4, 135, milliseconds(100), true, 2);
  const Replay first = ReplayProvas(4, 135, milliseconds(100), true, 0);
  REQUIRE(first.checks_in_time > 0.999);
  REQUIRE(same_rank.checks_in_time < 0.9);
}

// Guards against slots that are kept free although clients need them.
TEST_CASE("at the full rate the reserve costs no requests of clients") {
  for (const int callee_ms : {0, 30}) {
    const Replay replay =
        ReplayProvas(5, 135, milliseconds(callee_ms), true, 0);
    CAPTURE(callee_ms, replay.checks_in_time, replay.downloads_served);
    REQUIRE(replay.checks_in_time > 0.999);
    REQUIRE(replay.downloads_served > 0.99);
  }
}

// Guards against slots that stay reserved where no calls arrive.
TEST_CASE("slots are reserved only while calls arrive") {
  SlotReserve reserve;
  reserve.Record(kStart, 2);
  reserve.Record(kStart + seconds(10), 0);
  REQUIRE(reserve.Count(6) == 0);
  reserve.set_enabled(true);
  reserve.Record(kStart + seconds(10), 2);
  REQUIRE(reserve.Count(6) == 0);
  reserve.Record(kStart + seconds(20), 0);
  REQUIRE(reserve.Count(6) == 1);
  // At most a third of the slots.
  reserve.Record(kStart + seconds(20), 20);
  reserve.Record(kStart + seconds(40), 0);
  REQUIRE(reserve.Count(6) == 2);
  REQUIRE(reserve.Count(2) == 0);
  reserve.Record(kStart + seconds(80), 0);
  REQUIRE(reserve.Count(6) == 0);
}

}  // namespace
}  // namespace oleandertide::mesh
