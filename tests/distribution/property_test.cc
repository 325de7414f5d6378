// Random schedules of faults over the fake mesh, and hostile messages.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "distribution/fake_mesh.h"

namespace oleandertide::distribution {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Applies one random fault or promotion. Stopped nodes return within the time
// for which dead members count, because the restart rule assumes that N does
// not change by more than one member.
void ApplyRandomStep(FakeMesh& mesh, int step, std::size_t node,
                     int milliseconds_taken) {
  const std::size_t index = node % mesh.nodes().size();
  const std::string address = mesh.nodes()[index].address;
  switch (step) {
    case 0:
    case 1:
      mesh.Promote();
      break;
    case 2:
    case 3:
      mesh.Restart(index);
      break;
    case 4:
      mesh.Pause(index, milliseconds(milliseconds_taken * 3));
      break;
    case 5:
      mesh.is_cut = [address](const auto& from, const auto& to) {
        return from.address == address || to.address == address;
      };
      break;
    case 6:
      mesh.is_cut = [address](const auto& from, const auto& to) {
        return (from.address < address) != (to.address < address);
      };
      break;
    case 7:
      mesh.is_cut = nullptr;
      mesh.is_cut_from_platform = nullptr;
      break;
    case 8:
      mesh.platform_is_up = !mesh.platform_is_up;
      break;
    default:
      mesh.is_cut_from_platform = [address](const auto& other) {
        return other.address < address;
      };
      break;
  }
  mesh.RunFor(milliseconds(milliseconds_taken));
}

// Guards against any order of promotions, restarts, pauses, cuts and outages in
// which a node goes back, acts on what was not accepted or not validated, is
// confirmed on an old version, or stays behind once all faults have ended.
TEST_CASE("invariants hold under random faults") {
  REQUIRE(rc::check([] {
    MeshConfig config;
    if (*rc::gen::inRange(0, 2) == 0) {
      config.data_centres = {{"dc1", "r1"}, {"dc2", "r2"}};
    }
    config.nodes_per_data_centre =
        static_cast<std::size_t>(*rc::gen::inRange(1, 7));
    config.seed = *rc::gen::arbitrary<std::uint32_t>();
    config.loss = 0.01 * *rc::gen::inRange(0, 20);
    config.duplication = 0.01 * *rc::gen::inRange(0, 30);
    config.jitter = milliseconds(*rc::gen::inRange(0, 300));
    FakeMesh mesh(config);
    mesh.Promote();
    mesh.StartAll();
    mesh.RunFor(seconds(10));
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      ApplyRandomStep(mesh, *rc::gen::inRange(0, 10),
                      static_cast<std::size_t>(*rc::gen::inRange(0, 100)),
                      *rc::gen::inRange(1, 1500));
    }
    mesh.is_cut = nullptr;
    mesh.is_cut_from_platform = nullptr;
    mesh.platform_is_up = true;
    mesh.loss = 0;
    const std::uint64_t last = mesh.Promote();
    const bool converged =
        mesh.RunUntil([&] { return mesh.AllActive(last); }, seconds(40))
            .has_value();
    if (!mesh.violations().empty()) RC_FAIL(mesh.violations().front());
    RC_ASSERT(converged);
  }));
}

// Found by a random schedule: a node that restarted cut off from the others
// took itself for the only member, committed a version alone and lost it with
// the next restart.
TEST_CASE("a node that reaches no other member commits nothing alone") {
  MeshConfig config;
  config.nodes_per_data_centre = 2;
  FakeMesh mesh(config);
  mesh.Promote();
  mesh.StartAll();
  mesh.RunFor(seconds(10));
  mesh.is_cut = [](const auto&, const auto&) { return true; };
  mesh.is_cut_from_platform = [&](const auto& node) {
    return node.address == mesh.nodes()[0].address;
  };
  mesh.Promote();
  mesh.Restart(1);
  mesh.RunFor(seconds(10));
  REQUIRE(mesh.nodes()[1].documents.contains(2));
  mesh.platform_is_up = false;
  mesh.is_cut = nullptr;
  mesh.Restart(1);
  mesh.RunFor(seconds(10));
  REQUIRE(mesh.nodes()[1].active == 1);
  REQUIRE(mesh.violations().empty());
}

Digest RandomDigest(RandomSource& random) {
  const auto text = [&] { return std::string(random.Below(80), 'x'); };
  const auto record = [&]() -> membership::MemberPointer {
    if (random.Below(8) == 0) return nullptr;
    membership::Member member;
    member.address = random.Below(2) == 0
                         ? "10.0.0." + std::to_string(random.Below(4)) + ":700"
                         : text();
    member.life = random.Next();
    member.data_centre = random.Below(2) == 0 ? "dc1" : text();
    member.region = text();
    member.state = static_cast<membership::MemberState>(random.Below(8));
    member.incarnation = random.Next() >> random.Below(64);
    return std::make_shared<const membership::Member>(std::move(member));
  };
  Digest digest;
  digest.sender = record();
  digest.held = Version{random.Next() >> random.Below(64), text()};
  digest.committed = random.Next();
  digest.confirmation = Confirmation{random.Next(), random.Next(),
                                     static_cast<std::uint32_t>(random.Next())};
  digest.counted_members = static_cast<std::uint32_t>(random.Next());
  digest.heard.resize(random.Below(100), HeardEntry{text(), 1});
  for (std::uint64_t i = random.Below(200); i > 0; --i) {
    digest.deltas.push_back(record());
  }
  return digest;
}

// Guards against damaged messages that crash a node, exhaust its memory or make
// it act on a version whose document it never validated.
TEST_CASE("damaged messages change no active version and stay bounded") {
  Options options;
  options.table.maximum_members = 64;
  membership::Member own;
  own.address = "10.0.0.0:700";
  own.data_centre = "dc1";
  Distributor distributor(own, options, RandomSource(1));
  RandomSource random(2);
  MonotonicTime now(seconds(1));
  std::vector<std::uint64_t> ids;
  const auto perform = [&](const Effects& effects) {
    for (const Effect& effect : effects) {
      REQUIRE_FALSE(std::holds_alternative<Activate>(effect));
      if (const auto* send = std::get_if<SendExchange>(&effect)) {
        ids.push_back(send->message.id);
      }
    }
  };
  perform(distributor.Start(now));
  for (int i = 0; i < 2000; ++i) {
    now += milliseconds(random.Below(200));
    perform(distributor.Tick(now));
    perform(distributor
                .OnExchange(now, Exchange{random.Next(), RandomDigest(random)})
                .effects);
    const std::uint64_t id = ids.empty() ? 0 : ids[random.Below(ids.size())];
    perform(distributor.OnExchangeReply(
        now, ExchangeReply{id, RandomDigest(random)}));
    SyncReply part{RandomDigest(random).deltas,
                   static_cast<std::uint32_t>(random.Next())};
    perform(distributor.OnSyncReply(now, "10.0.0.1:700", part));
    SyncRequest request;
    request.first_bucket = static_cast<std::uint32_t>(random.Next());
    request.known.resize(random.Below(5000));
    REQUIRE(distributor.OnSyncRequest(request).records.size() <= 64);
  }
  REQUIRE(distributor.table().size() <= 64);
  REQUIRE(distributor.counters().input_rejected > 0);
}

}  // namespace
}  // namespace oleandertide::distribution
