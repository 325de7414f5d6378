#include "mesh/bulk_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <vector>

#include "mesh/link_backlog.h"

namespace oleandertide::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kNarrowMbps = 5;

bool CanSend(BulkSchedule::Ticket /*ticket*/) { return true; }

// Guards against concurrent downloads that share a link and are all late.
TEST_CASE("the answer with the fewest bytes left goes first") {
  BulkSchedule schedule;
  schedule.Add(1, 90'000);
  schedule.Add(2, 30'000);
  schedule.Add(3, 30'000);
  REQUIRE(schedule.Next(CanSend) == 2U);
  schedule.RecordSent(2, 30'000);
  REQUIRE(schedule.Next(CanSend) == 3U);
  schedule.Remove(3);
  REQUIRE(schedule.Next(CanSend) == 1U);
  schedule.RecordSent(1, 80'000);
  schedule.Add(4, 20'000);
  REQUIRE(schedule.Next(CanSend) == 1U);
  REQUIRE(schedule.remaining_bytes() == 30'000);
}

// Guards against a receiver that does not read and blocks the answers to other
// nodes.
TEST_CASE("an answer that cannot be sent is passed over") {
  BulkSchedule schedule;
  schedule.Add(1, 10'000);
  schedule.Add(2, 90'000);
  REQUIRE(schedule.Next([](auto ticket) { return ticket != 1; }) == 2U);
  REQUIRE_FALSE(schedule.Next([](auto) { return false; }));
}

// Simulates four downloads that become ready together on a narrow link. Guards
// against small answers that wait behind all of them, and against an idle link.
TEST_CASE("small answers wait for about one part of the downloads") {
  BulkSchedule schedule;
  LinkBacklog backlog(kNarrowMbps);
  constexpr std::size_t kDownload = 90'000;
  std::map<BulkSchedule::Ticket, std::size_t> left;
  for (BulkSchedule::Ticket ticket = 1; ticket <= 4; ++ticket) {
    schedule.Add(ticket, kDownload);
    left[ticket] = kDownload;
  }
  const MonotonicTime start{seconds(100)};
  MonotonicTime now = start;
  std::vector<MonotonicTime> ends;
  while (const auto next = schedule.Next(CanSend)) {
    now += ChoosePartDelay(backlog.Wait(now));
    // Time that a small answer sent now would wait.
    REQUIRE(backlog.Wait(now) <= milliseconds(10));
    const std::size_t part =
        std::min(left[*next], ChoosePartBytes(kNarrowMbps));
    backlog.Add(now, part);
    schedule.RecordSent(*next, part);
    left[*next] -= part;
    if (left[*next] == 0) ends.push_back(now + backlog.Wait(now));
  }
  // In sequence each takes 144 ms; sent concurrently, all would take 576 ms.
  REQUIRE(ends.size() == 4);
  REQUIRE(ends.front() - start <= milliseconds(150));
  REQUIRE(ends.back() - start <= milliseconds(580));
}

// Guards against parts that are too large or too small for the bandwidth.
TEST_CASE("parts fit the bandwidth") {
  REQUIRE(ChoosePartBytes(5) == 6250);
  REQUIRE(ChoosePartBytes(0.1) == 4096);
  REQUIRE(ChoosePartBytes(1000) == 65'536);
}

}  // namespace
}  // namespace oleandertide::mesh
