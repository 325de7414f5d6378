#include "mesh/admission_queue.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <vector>

#include "core/random.h"
#include "mesh/attempt_policy.h"

namespace oleandertide::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = AdmissionQueue::Verdict;

constexpr MonotonicTime kStart{seconds(100)};

AdmissionQueue::Request Request(int priority, Duration allowance,
                                Duration expected_run = milliseconds(100)) {
  return {.priority = priority,
          .wait_allowance = allowance,
          .remaining = allowance + expected_run * 2,
          .expected_run = expected_run};
}

// Fills all slots and teaches the queue the run time.
AdmissionQueue MakeBusyQueue(int slots, Duration run_time) {
  AdmissionQueue queue;
  queue.set_slots(slots);
  for (int i = 0; i < slots; ++i) {
    queue.Offer(kStart, 1000 + i, Request(2, milliseconds(100), run_time));
  }
  queue.Finish(run_time, run_time, true);
  queue.Offer(kStart, 2000, Request(2, milliseconds(100), run_time));
  return queue;
}

// Guards against more requests at a backend server than it has slots.
TEST_CASE("no more requests run than there are slots") {
  AdmissionQueue queue;
  queue.set_slots(2);
  REQUIRE(queue.Offer(kStart, 1, Request(2, seconds(1))) == Verdict::kStart);
  REQUIRE(queue.Offer(kStart, 2, Request(2, seconds(1))) == Verdict::kStart);
  REQUIRE(queue.Offer(kStart, 3, Request(2, seconds(1))) == Verdict::kWait);
  AdmissionQueue::Dropped dropped;
  REQUIRE_FALSE(queue.TakeNext(kStart, dropped));
  queue.Finish(milliseconds(100), milliseconds(100), true);
  REQUIRE(queue.TakeNext(kStart, dropped) == 3U);
  REQUIRE(queue.running() == 2);
}

// Guards against requests that are held for long and refused in the end.
TEST_CASE("a request whose wait would be too long is refused at once") {
  AdmissionQueue queue = MakeBusyQueue(2, milliseconds(100));
  // One slot frees itself after about 50 ms.
  REQUIRE(queue.Offer(kStart, 1, Request(2, milliseconds(40))) ==
          Verdict::kReject);
  REQUIRE(queue.Offer(kStart, 2, Request(2, milliseconds(60))) ==
          Verdict::kWait);
  // Behind it, the wait is twice as long.
  REQUIRE(queue.Offer(kStart, 3, Request(2, milliseconds(90))) ==
          Verdict::kReject);
}

// Guards against bookings that wait behind lookups, and against short requests
// that expire behind long ones of the same rank.
TEST_CASE("urgent routes go first, then what must start first") {
  AdmissionQueue queue = MakeBusyQueue(2, milliseconds(10));
  REQUIRE(queue.Offer(kStart, 1, Request(2, milliseconds(900))) ==
          Verdict::kWait);
  REQUIRE(queue.Offer(kStart, 2, Request(2, milliseconds(300))) ==
          Verdict::kWait);
  REQUIRE(queue.Offer(kStart, 3, Request(1, milliseconds(900))) ==
          Verdict::kWait);
  std::vector<AdmissionQueue::Ticket> order;
  AdmissionQueue::Dropped dropped;
  for (int i = 0; i < 3; ++i) {
    queue.Finish(milliseconds(10), milliseconds(10), true);
    order.push_back(*queue.TakeNext(kStart, dropped));
  }
  REQUIRE(order == std::vector<AdmissionQueue::Ticket>{3, 2, 1});
}

// Guards against slots that are spent on answers nobody waits for.
TEST_CASE("a request that can no longer be answered is not started") {
  AdmissionQueue queue = MakeBusyQueue(1, milliseconds(100));
  REQUIRE(queue.Offer(kStart, 1, Request(2, milliseconds(150))) ==
          Verdict::kWait);
  REQUIRE(queue.TakeDropped(kStart + milliseconds(100)).expired.empty());
  const MonotonicTime late = kStart + milliseconds(340);
  REQUIRE(queue.TakeDropped(late).expired ==
          std::vector<AdmissionQueue::Ticket>{1});
  REQUIRE(queue.waiting() == 0);
}

// Guards against an overload in which every request is started just when it is
// too late: the one that has missed its start would go first.
TEST_CASE("a request that missed its start goes behind those in time") {
  AdmissionQueue queue = MakeBusyQueue(1, milliseconds(100));
  REQUIRE(queue.Offer(kStart, 1, Request(2, milliseconds(150))) ==
          Verdict::kWait);
  REQUIRE(queue.Offer(kStart, 2, Request(2, milliseconds(250))) ==
          Verdict::kWait);
  queue.Finish(milliseconds(100), milliseconds(100), true);
  AdmissionQueue::Dropped dropped;
  // The second one cannot wait for the next slot without being late as well.
  REQUIRE(queue.TakeNext(kStart + milliseconds(200), dropped) == 2U);
  REQUIRE(queue.waiting() == 1);
}

// Guards against requests that are held until their end although others always
// go before them: they could run elsewhere or come back.
TEST_CASE("a request that is passed over for a run time is given back") {
  AdmissionQueue queue = MakeBusyQueue(1, milliseconds(100));
  AdmissionQueue::Request request = Request(2, milliseconds(150));
  request.remaining = seconds(2);
  REQUIRE(queue.Offer(kStart, 1, request) == Verdict::kWait);
  const auto early = queue.TakeDropped(kStart + milliseconds(240));
  REQUIRE(early.passed_over.empty());
  const auto dropped = queue.TakeDropped(kStart + milliseconds(260));
  REQUIRE(dropped.passed_over == std::vector<AdmissionQueue::Ticket>{1});
  REQUIRE(dropped.expired.empty());
  REQUIRE(queue.waiting() == 0);
}

// Guards against a slow backend server that is avoided for ever.
TEST_CASE("what was learnt of an idle backend server fades") {
  AdmissionQueue queue;
  queue.set_slots(4);
  for (int i = 0; i < 40; ++i) {
    queue.Offer(kStart, i, Request(2, seconds(1)));
    queue.RecordQuality(false);
    queue.Finish(milliseconds(800), milliseconds(100), true);
  }
  REQUIRE(queue.load().slowness > 5);
  REQUIRE(queue.load().failure_share > 0.9);
  for (int i = 0; i < 40; ++i) queue.Relax(milliseconds(250));
  REQUIRE(queue.load().slowness < 1.5);
  REQUIRE(queue.load().failure_share < 0.1);
}

// Replays an overload of 1.7 times the capacity. Guards against a queue that
// grows until every answer is late.
TEST_CASE("under overload those that are admitted are answered in time") {
  constexpr int kSlots = 12;
  constexpr Duration kRun = milliseconds(100);
  constexpr Duration kTarget = milliseconds(300);
  AdmissionQueue queue;
  queue.set_slots(kSlots);
  RandomSource random(7);
  std::map<MonotonicTime, std::pair<AdmissionQueue::Ticket, Duration>> ends;
  std::map<AdmissionQueue::Ticket, MonotonicTime> arrived;
  int admitted = 0;
  int in_time = 0;
  int refused = 0;
  MonotonicTime now = kStart;
  const auto start = [&](AdmissionQueue::Ticket ticket) {
    const Duration run = random.Between(kRun / 2, kRun * 3 / 2);
    MonotonicTime end = now + run;
    while (ends.contains(end)) end += Duration(1);
    ends[end] = {ticket, run};
  };
  for (AdmissionQueue::Ticket ticket = 1; ticket <= 4000; ++ticket) {
    // 204 requests a second at a capacity of 120.
    const MonotonicTime arrival =
        now + random.Between(milliseconds(0), Duration(9800));
    while (!ends.empty() && ends.begin()->first <= arrival) {
      now = ends.begin()->first;
      const auto [done, run] = ends.begin()->second;
      ends.erase(ends.begin());
      if (now - arrived[done] <= kTarget) ++in_time;
      queue.Finish(run, kRun, true);
      AdmissionQueue::Dropped dropped;
      while (const auto next = queue.TakeNext(now, dropped)) start(*next);
    }
    now = arrival;
    arrived[ticket] = now;
    const auto verdict = queue.Offer(now, ticket,
                                     {.priority = 2,
                                      .wait_allowance = ChooseLongestWait(
                                          kTarget, Duration::zero(), kRun, 2),
                                      .remaining = milliseconds(800),
                                      .expected_run = kRun});
    if (verdict == Verdict::kReject) {
      ++refused;
      continue;
    }
    ++admitted;
    if (verdict == Verdict::kStart) start(ticket);
  }
  REQUIRE(refused > 1000);
  // Nearly all that were let in are answered within the target.
  REQUIRE(in_time > admitted * 85 / 100);
  // The slots were not left empty: 4,000 requests take 19.6 s.
  REQUIRE(admitted > 2100);
}

}  // namespace
}  // namespace oleandertide::mesh
