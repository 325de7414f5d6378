#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "core/random.h"
#include "mesh/link_backlog.h"
#include "mesh/peer_selection.h"
#include "mesh/reader_election.h"

namespace oleandertide::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<PeerCandidate> MakeFleet(int nodes) {
  std::vector<PeerCandidate> fleet;
  fleet.reserve(nodes);
  for (int i = 0; i < nodes; ++i) {
    fleet.push_back({.name = "node-" + std::to_string(i),
                     .data_centre = "dc-" + std::to_string(i % 3),
                     .service = i % 5 < 3 ? "booking" : "rooms",
                     .link_mbps = i % 11 == 0 ? 100U : 5U});
  }
  return fleet;
}

// Guards against links, and thus status messages, whose number grows with the
// square of the fleet, and against nodes that no other node sends requests to.
TEST_CASE("links of a node are bounded and spread over the fleet") {
  const auto fleet = MakeFleet(300);
  std::map<std::string, int> chosen;
  for (const PeerCandidate& node : fleet) {
    const auto peers =
        SelectPeers(node.name, node.data_centre, fleet, PeerLimits{});
    // Two services, and the reader of the data centre.
    const PeerLimits limits;
    REQUIRE(peers.size() <= 2 * (limits.own_data_centre_links +
                                 limits.other_data_centre_links) +
                                1);
    REQUIRE(std::ranges::find(peers, node.name) == peers.end());
    for (const std::string& peer : peers) ++chosen[peer];
  }
  for (const PeerCandidate& node : fleet) REQUIRE(chosen[node.name] >= 5);
}

// Guards against small sites whose nodes do not use all backend servers.
TEST_CASE("on a small site all nodes are linked") {
  const auto fleet = MakeFleet(12);
  REQUIRE(SelectPeers("node-0", "dc-0", fleet, PeerLimits{}).size() == 11);
}

// Guards against links only to failed nodes of a data centre.
TEST_CASE("failing nodes are replaced by others and tried again") {
  auto fleet = MakeFleet(120);
  const auto before = SelectPeers("node-0", "dc-0", fleet, PeerLimits{});
  for (PeerCandidate& node : fleet) {
    node.is_failing = std::ranges::find(before, node.name) != before.end();
  }
  const auto after = SelectPeers("node-0", "dc-0", fleet, PeerLimits{});
  for (const std::string& node : before) {
    // Only the reader is not retried while it fails.
    const bool is_kept = std::ranges::find(after, node) != after.end();
    const bool is_reader = node == "node-33" || node == "node-66" ||
                           node == "node-99" || node == "node-0";
    REQUIRE((is_kept || is_reader));
  }
  const auto working = std::ranges::count_if(after, [&](const auto& name) {
    return std::ranges::find(before, name) == before.end();
  });
  REQUIRE(working >= 20);
}

// Guards against a fleet in which all nodes read the store, or none does.
TEST_CASE("one node of a data centre reads the store") {
  std::vector<ReaderCandidate> nodes;
  nodes.reserve(20);
  for (int i = 0; i < 20; ++i) {
    nodes.push_back({"node-" + std::to_string(i), i == 7 ? 100U : 5U});
  }
  int readers = 0;
  for (const ReaderCandidate& self : nodes) {
    std::vector<ReaderCandidate> peers;
    for (const ReaderCandidate& other : nodes) {
      if (other.node != self.node) peers.push_back(other);
    }
    if (IsReader(self, peers, milliseconds(0))) {
      ++readers;
      // The widest link goes first.
      REQUIRE(self.node == "node-7");
    }
    // Without a confirmation from the reader, every node reads the store
    // itself.
    REQUIRE(IsReader(self, peers, kConfirmationLimit + milliseconds(1)));
  }
  REQUIRE(readers == 1);
}

// Guards against polling an unavailable store at the full rate from the whole
// fleet: all nodes read once the reader's confirmations stop.
TEST_CASE("only the reader asks a failing store often") {
  for (const int failures : {0, 1, 2, 9}) {
    REQUIRE(ChooseReadPause(true, failures, 100, 0.99) <= milliseconds(400));
    REQUIRE(ChooseReadPause(true, failures, 100, 0) >= milliseconds(100));
  }
  const Duration first = ChooseReadPause(true, 0, 12, 0.5);
  REQUIRE(ChooseReadPause(false, 0, 12, 0.5) == first);
  REQUIRE(ChooseReadPause(false, 2, 12, 0.5) == 4 * first);
  // A node that the store serves while it rejects the reader still reads in
  // time.
  REQUIRE(ChooseReadPause(false, 9, 4, 1) <= milliseconds(1600));
  REQUIRE(ChooseReadPause(false, 9, 12, 1) <= milliseconds(1600));
}

// Guards against calls to a failing store that grow with the fleet, and against
// a data centre in which no node notices soon that the store is back: some node
// asks within 700 ms, of the 2 s in which a configuration is to be in force.
TEST_CASE("a data centre asks a failing store at the same rate at any size") {
  RandomSource random(7);
  for (const std::size_t nodes : {12, 24, 40}) {
    const Duration time = seconds(60);
    std::vector<Duration> asked;
    for (std::size_t node = 0; node < nodes; ++node) {
      int failures = 0;
      Duration next = Duration::zero();
      while (next < time) {
        asked.push_back(next);
        next += ChooseReadPause(false, failures++, nodes, random.Unit());
      }
    }
    std::ranges::sort(asked);
    const double calls_per_second = static_cast<double>(asked.size()) /
                                    (static_cast<double>(time.count()) / 1e6);
    REQUIRE(calls_per_second < 16);
    Duration longest_gap = Duration::zero();
    for (std::size_t i = 1; i < asked.size(); ++i) {
      longest_gap = std::max(longest_gap, asked[i] - asked[i - 1]);
    }
    REQUIRE(longest_gap < milliseconds(700));
  }
}

// Guards against a link that seems idle while a download occupies it.
TEST_CASE("a link's wait follows the bytes and the bandwidth") {
  LinkBacklog backlog(5);
  const MonotonicTime now{seconds(100)};
  REQUIRE(backlog.Wait(now) == Duration::zero());
  backlog.Add(now, 90'000);
  REQUIRE(backlog.Wait(now) == milliseconds(144));
  REQUIRE(backlog.Wait(now + milliseconds(100)) == milliseconds(44));
  REQUIRE(backlog.Wait(now + milliseconds(200)) == Duration::zero());
}

}  // namespace
}  // namespace oleandertide::mesh
