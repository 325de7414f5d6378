#include "mesh/link_room.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/random.h"
#include "mesh/bulk_schedule.h"
#include "mesh/link_backlog.h"
#include "mesh/placement.h"
#include "support/event_queue.h"

namespace oleandertide::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTarget = milliseconds(500);
constexpr Duration kRun = milliseconds(120);
constexpr double kMeanBytes = 90'000;
constexpr double kMbps = 14;

// Guards against small answers that are refused for large ones, and against a
// request that was tried elsewhere and is refused although it could be answered
// somewhat late.
TEST_CASE("the link's allowance depends on the time left") {
  REQUIRE_FALSE(ChooseLinkAllowance(
      {.expected_bytes = 5'000, .target_latency = kTarget}));
  REQUIRE_FALSE(
      ChooseLinkAllowance({.expected_bytes = 0, .target_latency = kTarget}));
  const auto allow = [](Duration elapsed) {
    return ChooseLinkAllowance({.expected_bytes = 90'000,
                                .expected_run = kRun,
                                .target_latency = kTarget,
                                .elapsed = elapsed});
  };
  REQUIRE(allow(Duration::zero()) == milliseconds(215));
  REQUIRE(allow(milliseconds(100)) == milliseconds(190));
  REQUIRE(allow(seconds(2)) == milliseconds(170));
}

// Downloads from five nodes, whose links they share by the product's decisions.
class Downloads {
 public:
  Downloads(bool bounds_links, double per_second, Duration run = kRun)
      : bounds_links_(bounds_links), per_second_(per_second), run_(run) {
    for (int i = 0; i < 5; ++i) senders_.emplace_back();
    for (int i = 0; i < 16; ++i) placements_.emplace_back(0);
  }

  struct Result {
    int clients = 0;
    int in_time = 0;
    int refused = 0;
    // Longest time after which a refusal came.
    Duration latest_refusal{};
  };

  Result Run(Duration duration) {
    const MonotonicTime end = queue_.now() + duration;
    Report(end);
    Arrive(end);
    queue_.RunUntil(end + seconds(20));
    return result_;
  }

 private:
  struct Sender {
    LinkBacklog backlog{kMbps};
    BulkSchedule schedule;
    std::map<BulkSchedule::Ticket, MonotonicTime> arrivals;
    std::size_t promised = 0;
    bool is_part_due = false;

    Duration link_wait(MonotonicTime now) const {
      return backlog.Wait(now) +
             backlog.TransferTime(schedule.remaining_bytes() + promised);
    }
  };

  void Report(MonotonicTime end) {
    for (std::size_t i = 0; i < senders_.size(); ++i) {
      for (Placement& placement : placements_) {
        placement.Update("node-" + std::to_string(i), "files",
                         {.is_in_own_data_centre = true, .link_mbps = kMbps},
                         {.accepts_requests = true,
                          .slots = 1000,
                          .mean_run_time = run_,
                          .link_wait = senders_[i].link_wait(queue_.now())},
                         queue_.now());
      }
    }
    if (queue_.now() < end) {
      queue_.After(milliseconds(300), [this, end] { Report(end); });
    }
  }

  void Arrive(MonotonicTime end) {
    const Duration gap(static_cast<std::int64_t>(-std::log(1 - random_.Unit()) /
                                                 per_second_ * 1e6));
    queue_.After(gap, [this, end] {
      if (queue_.now() >= end) return;
      ++result_.clients;
      Place(random_.Below(placements_.size()), queue_.now(), {});
      Arrive(end);
    });
  }

  void Place(std::size_t ingress, MonotonicTime arrival,
             std::vector<std::string> tried) {
    const Duration elapsed = queue_.now() - arrival;
    Placement::Request request{.service = "files",
                               .expected_run = run_,
                               .expected_bytes = kMeanBytes,
                               .wait_allowance = milliseconds(300),
                               .target_latency = kTarget,
                               .elapsed = elapsed,
                               .now = queue_.now()};
    if (bounds_links_) {
      request.link_allowance = ChooseLinkAllowance(
          {.expected_bytes = static_cast<std::size_t>(kMeanBytes),
           .expected_run = run_,
           .target_latency = kTarget,
           .elapsed = elapsed});
    }
    const auto decision = placements_[ingress].Choose(request, tried, random_);
    const auto* choice = std::get_if<Placement::Choice>(&decision);
    if (choice == nullptr || tried.size() == 4) {
      ++result_.refused;
      result_.latest_refusal = std::max(result_.latest_refusal, elapsed);
      return;
    }
    tried.push_back(choice->node);
    Sender& sender = senders_[choice->node.back() - '0'];
    if (request.link_allowance &&
        sender.link_wait(queue_.now()) > *request.link_allowance) {
      queue_.After(milliseconds(2), [this, ingress, arrival, tried] {
        Place(ingress, arrival, tried);
      });
      return;
    }
    sender.promised += static_cast<std::size_t>(kMeanBytes);
    queue_.After(run_, [this, &sender, arrival] {
      sender.promised -= static_cast<std::size_t>(kMeanBytes);
      // Sizes vary by a factor of four.
      const auto bytes =
          static_cast<std::size_t>(kMeanBytes * (0.4 + 1.2 * random_.Unit()));
      sender.schedule.Add(next_ticket_, bytes);
      sender.arrivals.emplace(next_ticket_++, arrival);
      sizes_.emplace(next_ticket_ - 1, bytes);
      SendParts(sender);
    });
  }

  void SendParts(Sender& sender) {
    if (sender.is_part_due || sender.schedule.is_empty()) return;
    const auto ticket = *sender.schedule.Next([](auto) { return true; });
    std::size_t& left = sizes_.at(ticket);
    const std::size_t part = std::min(left, ChoosePartBytes(kMbps));
    sender.backlog.Add(queue_.now(), part);
    sender.schedule.RecordSent(ticket, part);
    left -= part;
    const Duration wait = sender.backlog.Wait(queue_.now());
    if (left == 0) {
      // The client's node sends it on over a link of the same width.
      const Duration forward = TransferTime(kMeanBytes, kMbps);
      const Duration latency =
          queue_.now() + wait + forward - sender.arrivals.at(ticket);
      if (latency <= kTarget) ++result_.in_time;
    }
    sender.is_part_due = true;
    queue_.After(ChoosePartDelay(wait), [this, &sender] {
      sender.is_part_due = false;
      SendParts(sender);
    });
  }

  const bool bounds_links_;
  const double per_second_;
  const Duration run_;
  testing::EventQueue queue_;
  RandomSource random_{3};
  std::deque<Sender> senders_;
  std::deque<Placement> placements_;
  std::map<BulkSchedule::Ticket, std::size_t> sizes_;
  BulkSchedule::Ticket next_ticket_ = 1;
  Result result_;
};

// Guards against a queue of downloads that makes each of them late: they need
// 97 Mbit/s, and the links have 70 together.
TEST_CASE("replay: more downloads than the links can carry") {
  const auto all = Downloads(false, 135).Run(seconds(20));
  const auto bounded = Downloads(true, 135).Run(seconds(20));
  const auto share = [](int count, const Downloads::Result& result) {
    return static_cast<double>(count) / result.clients;
  };
  WARN("in time: " << share(all.in_time, all) << " without bound, "
                   << share(bounded.in_time, bounded) << " with; refused "
                   << share(bounded.refused, bounded) << ", after at most "
                   << ToMilliseconds(bounded.latest_refusal) << " ms");
  // The links can carry 0.72 of the downloads.
  CHECK(share(all.in_time, all) < 0.5);
  CHECK(share(bounded.in_time, bounded) > 0.6);
  CHECK(bounded.latest_refusal < kTarget / 10);
}

// Guards against downloads that are refused although the links can carry them.
TEST_CASE("replay: links with room refuse nothing") {
  const auto bounded = Downloads(true, 60).Run(seconds(20));
  CHECK(bounded.refused <= bounded.clients / 100);
  CHECK(bounded.in_time >= bounded.clients * 95 / 100);
}

// Guards against downloads that are refused because many of them run at slow
// backend servers, while the links are idle: what is promised is not due yet.
TEST_CASE("replay: slow backend servers do not fill links") {
  for (const int factor : {2, 4, 7}) {
    CAPTURE(factor);
    const auto bounded = Downloads(true, 40, kRun * factor).Run(seconds(20));
    CHECK(bounded.refused <= bounded.clients / 50);
  }
}

}  // namespace
}  // namespace oleandertide::mesh
