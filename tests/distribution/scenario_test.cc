// Fixed scenarios over the fake mesh. Where a mechanism can be switched off,
// the same scenario is also run without it and must then fail.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "distribution/fake_mesh.h"

namespace oleandertide::distribution {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Stated time from acceptance until a version is in force everywhere.
constexpr Duration kTarget = seconds(7);

MeshConfig OneDataCentre(std::size_t nodes) {
  MeshConfig config;
  config.nodes_per_data_centre = nodes;
  return config;
}

MeshConfig FourDataCentres(std::size_t nodes_per_data_centre) {
  MeshConfig config;
  config.data_centres = {
      {"dc1", "r1"}, {"dc2", "r1"}, {"dc3", "r2"}, {"dc4", "r2"}};
  config.nodes_per_data_centre = nodes_per_data_centre;
  return config;
}

bool Converges(FakeMesh& mesh, std::uint64_t sequence, Duration limit) {
  return mesh.RunUntil([&] { return mesh.AllActive(sequence); }, limit)
      .has_value();
}

// Starts all nodes on a first version and lets the tables become equal.
void StartOnFirstVersion(FakeMesh& mesh) {
  const std::uint64_t first = mesh.Promote();
  mesh.StartAll();
  REQUIRE(Converges(mesh, first, seconds(30)));
  mesh.RunFor(seconds(8));
  REQUIRE(mesh.AllStanding(Standing::kConfirmed));
}

bool TablesAreEqual(FakeMesh& mesh) {
  std::set<std::uint64_t> hashes;
  for (const FakeMesh::Node& node : mesh.nodes()) {
    if (node.distributor != nullptr) {
      hashes.insert(node.distributor->table().hash());
    }
  }
  return hashes.size() == 1;
}

std::vector<std::size_t> Readers(FakeMesh& mesh) {
  std::vector<std::size_t> readers;
  for (std::size_t i = 0; i < mesh.nodes().size(); ++i) {
    const auto& distributor = mesh.nodes()[i].distributor;
    if (distributor != nullptr && distributor->is_reader()) {
      readers.push_back(i);
    }
  }
  return readers;
}

std::uint64_t Sum(FakeMesh& mesh, std::uint64_t Counters::*counter) {
  std::uint64_t sum = 0;
  for (const FakeMesh::Node& node : mesh.nodes()) {
    if (node.distributor != nullptr) {
      sum += node.distributor->counters().*counter;
    }
  }
  return sum;
}

// Guards against nodes that never join, never become ready or miss a version.
TEST_CASE("all nodes join, become ready and act on each promotion") {
  FakeMesh mesh(FourDataCentres(5));
  StartOnFirstVersion(mesh);
  for (int i = 0; i < 5; ++i) {
    REQUIRE(Converges(mesh, mesh.Promote(), kTarget));
  }
  REQUIRE(mesh.violations().empty());
}

// Guards against data centres that stay apart when the settings have no
// contacts and the nodes only have the contacts rows.
TEST_CASE("nodes without contacts join through the contacts rows") {
  MeshConfig config = FourDataCentres(3);
  config.contacts_per_data_centre = 0;
  config.options.other_data_centres = {"dc1", "dc2", "dc3", "dc4"};
  FakeMesh mesh(config);
  const std::uint64_t first = mesh.Promote();
  mesh.StartAll();
  REQUIRE(Converges(mesh, first, seconds(30)));
  mesh.RunFor(seconds(60));
  REQUIRE(TablesAreEqual(mesh));
  REQUIRE(mesh.nodes()[0].distributor->table().size() == 12);
  REQUIRE(mesh.violations().empty());
}

bool SurvivesLossOfReaders(bool repair_enabled) {
  MeshConfig config = OneDataCentre(40);
  config.options.repair_enabled = repair_enabled;
  FakeMesh mesh(config);
  StartOnFirstVersion(mesh);
  const std::uint64_t sequence = mesh.Promote();
  // The readers stop after they have passed on the version and before they
  // have counted its holders.
  mesh.RunUntil(
      [&] {
        return std::any_of(mesh.nodes().begin(), mesh.nodes().end(),
                           [&](const FakeMesh::Node& node) {
                             return node.documents.contains(sequence) &&
                                    !node.distributor->is_reader();
                           });
      },
      kTarget);
  for (const std::size_t reader : Readers(mesh)) mesh.Kill(reader);
  const bool converges = Converges(mesh, sequence, seconds(15));
  REQUIRE(mesh.violations().empty());
  return converges;
}

// Guards against a version that is held everywhere but never in force, because
// the holders reported to readers that died.
TEST_CASE("a version spreads although both readers die in mid-spread") {
  REQUIRE(SurvivesLossOfReaders(true));
  REQUIRE_FALSE(SurvivesLossOfReaders(false));
}

// Guards against old versions that overtake new ones.
TEST_CASE("updates that cross and repeat never bring back an older version") {
  MeshConfig config = FourDataCentres(5);
  config.duplication = 0.3;
  config.jitter = milliseconds(300);
  config.loss = 0.05;
  FakeMesh mesh(config);
  StartOnFirstVersion(mesh);
  for (int i = 0; i < 40; ++i) {
    mesh.Promote();
    mesh.RunFor(mesh.random().Between(milliseconds(20), milliseconds(400)));
  }
  REQUIRE(Converges(mesh, mesh.accepted(), seconds(15)));
  REQUIRE(mesh.violations().empty());
}

bool RepairsLostDelta(bool repair_enabled) {
  MeshConfig config = FourDataCentres(5);
  config.options.repair_enabled = repair_enabled;
  FakeMesh mesh(config);
  StartOnFirstVersion(mesh);
  const std::string changed = mesh.nodes()[0].address;
  // Loses each message that passes on the changed record.
  mesh.passes = [&](const auto&, const auto&, const Message& message) {
    const auto names = [&](const Digest& digest) {
      return std::any_of(
          digest.deltas.begin(), digest.deltas.end(),
          [&](const auto& record) { return record->address == changed; });
    };
    if (const auto* exchange = std::get_if<Exchange>(&message)) {
      return !names(exchange->digest);
    }
    const auto* reply = std::get_if<ExchangeReply>(&message);
    return reply == nullptr || !names(reply->digest);
  };
  mesh.nodes()[0].distributor->SetOwnBackend(mesh.now(), "10.9.9.9:1", 1, 1);
  mesh.RunFor(seconds(30));
  return std::all_of(
      mesh.nodes().begin(), mesh.nodes().end(),
      [&](const FakeMesh::Node& node) {
        const auto found = node.distributor->table().Find(changed);
        return found != nullptr && found->backend_address == "10.9.9.9:1";
      });
}

// Guards against tables that stay different after lost messages.
TEST_CASE("a lost change of membership is repaired") {
  REQUIRE(RepairsLostDelta(true));
  REQUIRE_FALSE(RepairsLostDelta(false));
}

Standing StandingAfterPause(bool pause_detection_enabled, Duration pause) {
  MeshConfig config = FourDataCentres(5);
  config.options.pause_detection_enabled = pause_detection_enabled;
  FakeMesh mesh(config);
  StartOnFirstVersion(mesh);
  mesh.Pause(3, pause);
  mesh.RunFor(pause / 2);
  const std::uint64_t sequence = mesh.Promote();
  mesh.RunFor(pause / 2 - milliseconds(1));
  const Standing standing = mesh.nodes()[3].distributor->standing(mesh.now());
  REQUIRE(Converges(mesh, sequence, kTarget));
  mesh.RunFor(seconds(15));
  REQUIRE(mesh.AllStanding(Standing::kConfirmed));
  REQUIRE(TablesAreEqual(mesh));
  REQUIRE(mesh.violations().empty());
  return standing;
}

// Guards against a resumed node that serves on what it knew before the pause.
TEST_CASE("a paused node is isolated until it hears others again") {
  REQUIRE(StandingAfterPause(true, seconds(3)) == Standing::kIsolated);
  REQUIRE(StandingAfterPause(false, seconds(3)) == Standing::kConfirmed);
  // Past the confirmation limit the age alone is sufficient.
  REQUIRE(StandingAfterPause(true, seconds(9)) == Standing::kIsolated);
  REQUIRE(StandingAfterPause(false, seconds(9)) != Standing::kConfirmed);
}

// Guards against nodes that lose their configuration, stay confirmed or do not
// pass on a version while the platform is down.
TEST_CASE("the platform goes down in mid-spread and returns") {
  FakeMesh mesh(FourDataCentres(5));
  StartOnFirstVersion(mesh);
  const std::uint64_t sequence = mesh.Promote();
  mesh.RunUntil(
      [&] {
        return std::any_of(mesh.nodes().begin(), mesh.nodes().end(),
                           [&](const FakeMesh::Node& node) {
                             return node.documents.contains(sequence);
                           });
      },
      kTarget);
  mesh.platform_is_up = false;
  REQUIRE(Converges(mesh, sequence, kTarget));
  mesh.RunFor(seconds(8));
  REQUIRE(mesh.AllStanding(Standing::kPlatformDown));
  mesh.platform_is_up = true;
  mesh.RunFor(seconds(5));
  REQUIRE(mesh.AllStanding(Standing::kConfirmed));
  REQUIRE(mesh.violations().empty());
}

// Guards against reads that pile up, and against a confirmation whose age is
// counted from the answer instead of the start of the read.
TEST_CASE("a slow platform delays versions but does not confirm old ones") {
  FakeMesh mesh(FourDataCentres(5));
  StartOnFirstVersion(mesh);
  mesh.ResetMeasures();
  mesh.platform_delay = seconds(6);
  mesh.RunFor(seconds(10));
  REQUIRE(mesh.AllStanding(Standing::kPlatformDown));
  REQUIRE(mesh.peak_reads() <= 16);
  REQUIRE(Converges(mesh, mesh.Promote(), seconds(25)));
  REQUIRE(mesh.violations().empty());
}

// Guards against nodes that act on a version that a restart could lose: the
// only holder acts, restarts and adopts what the others hold.
std::size_t ViolationsWithOneHolder(bool commit_rule_enabled) {
  MeshConfig config = OneDataCentre(5);
  config.options.commit_rule_enabled = commit_rule_enabled;
  FakeMesh mesh(config);
  StartOnFirstVersion(mesh);
  const std::size_t holder = Readers(mesh).front();
  const std::string address = mesh.nodes()[holder].address;
  mesh.is_cut = [&](const auto& from, const auto& to) {
    return from.address == address || to.address == address;
  };
  mesh.is_cut_from_platform = [&](const auto& node) {
    return node.address != address;
  };
  const std::uint64_t sequence = mesh.Promote();
  mesh.RunFor(seconds(2));
  REQUIRE(mesh.nodes()[holder].documents.contains(sequence));
  mesh.platform_is_up = false;
  mesh.is_cut = nullptr;
  mesh.Restart(holder);
  mesh.RunFor(seconds(10));
  return mesh.violations().size();
}

TEST_CASE("a version that only one node holds is not acted on") {
  REQUIRE(ViolationsWithOneHolder(true) == 0);
  REQUIRE(ViolationsWithOneHolder(false) > 0);
}

// A majority holds and acts on a version; one of them restarts while the
// platform is down and first hears only nodes without it.
std::size_t ViolationsAfterRestart(bool restart_rule_enabled) {
  MeshConfig config = OneDataCentre(7);
  config.contacts_per_data_centre = 7;
  config.options.restart_rule_enabled = restart_rule_enabled;
  FakeMesh mesh(config);
  StartOnFirstVersion(mesh);
  std::set<std::string> majority;
  for (const std::size_t reader : Readers(mesh)) {
    majority.insert(mesh.nodes()[reader].address);
  }
  for (const FakeMesh::Node& node : mesh.nodes()) {
    if (majority.size() < 4) majority.insert(node.address);
  }
  mesh.is_cut = [&](const auto& from, const auto& to) {
    return majority.contains(from.address) != majority.contains(to.address);
  };
  mesh.is_cut_from_platform = [&](const auto& node) {
    return !majority.contains(node.address);
  };
  const std::uint64_t sequence = mesh.Promote();
  mesh.RunFor(seconds(4));
  mesh.platform_is_up = false;
  std::size_t restarted = 0;
  for (std::size_t i = 0; i < mesh.nodes().size(); ++i) {
    if (majority.contains(mesh.nodes()[i].address)) {
      REQUIRE(mesh.nodes()[i].active == sequence);
      restarted = i;
    }
  }
  mesh.Restart(restarted);
  const std::string address = mesh.nodes()[restarted].address;
  mesh.is_cut = [&](const auto& from, const auto& to) {
    const bool concerns = from.address == address || to.address == address;
    const bool other_holds =
        majority.contains(from.address) && majority.contains(to.address);
    return concerns ? other_holds
                    : majority.contains(from.address) !=
                          majority.contains(to.address);
  };
  mesh.RunFor(seconds(10));
  mesh.is_cut = nullptr;
  REQUIRE(Converges(mesh, sequence, seconds(20)));
  return mesh.violations().size();
}

TEST_CASE("a restarted node does not go back to an older version") {
  REQUIRE(ViolationsAfterRestart(true) == 0);
  REQUIRE(ViolationsAfterRestart(false) > 0);
}

// Guards against nodes that never become ready again without the platform, or
// become ready although nobody can know what they acted on.
TEST_CASE("half of the nodes restart while the platform is down") {
  FakeMesh mesh(OneDataCentre(10));
  StartOnFirstVersion(mesh);
  mesh.platform_is_up = false;
  for (std::size_t i = 0; i < 5; ++i) mesh.Restart(i);
  REQUIRE(Converges(mesh, 1, seconds(20)));
  for (std::size_t i = 0; i < 6; ++i) mesh.Restart(i);
  mesh.RunFor(seconds(60));
  REQUIRE(mesh.CountReady() == 4);
  mesh.platform_is_up = true;
  REQUIRE(Converges(mesh, 1, seconds(20)));
  REQUIRE(mesh.violations().empty());
}

// Guards against a cut-off data centre that stays confirmed, or that does not
// return to the others.
TEST_CASE("a data centre is cut off and returns") {
  FakeMesh mesh(FourDataCentres(5));
  StartOnFirstVersion(mesh);
  mesh.is_cut = [](const auto& from, const auto& to) {
    return (from.data_centre == "dc4") != (to.data_centre == "dc4");
  };
  mesh.is_cut_from_platform = [](const auto& node) {
    return node.data_centre == "dc4";
  };
  mesh.RunFor(seconds(1));
  const std::uint64_t sequence = mesh.Promote();
  mesh.RunFor(seconds(12));
  for (const FakeMesh::Node& node : mesh.nodes()) {
    const bool is_cut = node.data_centre == "dc4";
    REQUIRE(node.active == (is_cut ? 1 : sequence));
    REQUIRE(node.distributor->standing(mesh.now()) ==
            (is_cut ? Standing::kRegionCut : Standing::kConfirmed));
    REQUIRE(node.distributor->UnreachableDataCentres(mesh.now()).size() ==
            (is_cut ? 3 : 1));
  }
  mesh.is_cut = nullptr;
  mesh.is_cut_from_platform = nullptr;
  REQUIRE(Converges(mesh, sequence, kTarget));
  mesh.RunFor(seconds(15));
  REQUIRE(TablesAreEqual(mesh));
  REQUIRE(mesh.violations().empty());
}

// Guards against regions that do not find each other again after an hour, and
// against writes on the side that cannot learn of promotions.
TEST_CASE("a region is cut off for an hour while the other side promotes") {
  FakeMesh mesh(FourDataCentres(3));
  StartOnFirstVersion(mesh);
  mesh.is_cut = [](const auto& from, const auto& to) {
    return from.region != to.region;
  };
  mesh.is_cut_from_platform = [](const auto& node) {
    return node.region == "r2";
  };
  for (int i = 0; i < 12; ++i) {
    mesh.Promote();
    mesh.RunFor(std::chrono::minutes(5));
    // Restarts change records that the other side must learn later.
    mesh.Restart(0);
    for (const FakeMesh::Node& node : mesh.nodes()) {
      if (node.region != "r2") continue;
      REQUIRE(node.active == 1);
      REQUIRE(node.distributor->standing(mesh.now()) == Standing::kRegionCut);
    }
  }
  mesh.is_cut = nullptr;
  mesh.is_cut_from_platform = nullptr;
  REQUIRE(Converges(mesh, mesh.accepted(), kTarget));
  mesh.RunFor(seconds(20));
  REQUIRE(TablesAreEqual(mesh));
  REQUIRE(mesh.AllStanding(Standing::kConfirmed));
  REQUIRE(mesh.violations().empty());
}

// Guards against an unusable version that is applied, that stops the writes of
// the old version, or that blocks the versions after it.
TEST_CASE("a version without a usable document is refused as a whole") {
  const auto state = GENERATE(ObjectState::kMissing, ObjectState::kDamaged,
                              ObjectState::kInvalid);
  FakeMesh mesh(FourDataCentres(5));
  StartOnFirstVersion(mesh);
  const std::uint64_t unusable = mesh.Promote(state);
  mesh.RunFor(seconds(20));
  REQUIRE(mesh.AllStanding(Standing::kConfirmed));
  for (const FakeMesh::Node& node : mesh.nodes()) REQUIRE(node.active == 1);
  REQUIRE(Sum(mesh, &Counters::documents_missing) +
              Sum(mesh, &Counters::documents_damaged) +
              Sum(mesh, &Counters::documents_invalid) >
          0);
  if (state != ObjectState::kInvalid) {
    mesh.SetObject(unusable, ObjectState::kStored);
    REQUIRE(Converges(mesh, unusable, kTarget));
  }
  REQUIRE(Converges(mesh, mesh.Promote(), kTarget));
  REQUIRE(mesh.violations().empty());
}

std::uint64_t PeakReadsAfterRestart(bool every_node_polls) {
  MeshConfig config = FourDataCentres(40);
  config.options.every_node_polls = every_node_polls;
  FakeMesh mesh(config);
  StartOnFirstVersion(mesh);
  mesh.ResetMeasures();
  for (std::size_t i = 0; i < mesh.nodes().size(); ++i) mesh.Restart(i);
  REQUIRE(Converges(mesh, 1, seconds(30)));
  REQUIRE(mesh.violations().empty());
  return mesh.peak_reads();
}

// Guards against a rush of reads on the platform when all nodes restart.
TEST_CASE("platform reads stay few when all nodes restart at once") {
  const std::uint64_t peak = PeakReadsAfterRestart(false);
  const std::uint64_t baseline_peak = PeakReadsAfterRestart(true);
  CAPTURE(peak, baseline_peak);
  REQUIRE(peak < 160);
  REQUIRE(baseline_peak >= 160);
}

// Mean time from the first node that holds a version until all act on it. The
// time until a reader learns of the version is left out; it is not affected.
Duration MeanSpreadTime(bool push_on_news) {
  constexpr int kPromotions = 10;
  MeshConfig config = OneDataCentre(40);
  config.options.push_on_news = push_on_news;
  FakeMesh mesh(config);
  StartOnFirstVersion(mesh);
  Duration sum{};
  for (int i = 0; i < kPromotions; ++i) {
    const std::uint64_t sequence = mesh.Promote();
    mesh.RunUntil(
        [&] {
          return std::any_of(mesh.nodes().begin(), mesh.nodes().end(),
                             [&](const FakeMesh::Node& node) {
                               return node.documents.contains(sequence);
                             });
        },
        kTarget);
    const auto taken =
        mesh.RunUntil([&] { return mesh.AllActive(sequence); }, seconds(20));
    REQUIRE(taken.has_value());
    sum += *taken;
  }
  return sum / kPromotions;
}

// Guards against news that waits for the next periodic exchange of each node
// on its way.
TEST_CASE("news is pushed instead of waiting for periodic exchanges") {
  const Duration with_push = MeanSpreadTime(true);
  const Duration without_push = MeanSpreadTime(false);
  CAPTURE(ToMilliseconds(with_push), ToMilliseconds(without_push));
  REQUIRE(with_push < milliseconds(200));
  REQUIRE(without_push > milliseconds(800));
}

}  // namespace
}  // namespace oleandertide::distribution
