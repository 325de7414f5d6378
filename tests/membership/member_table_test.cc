#include "membership/member_table.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oleandertide::membership {
namespace {

Member MakeMember(const std::string& address,
                  MemberState state = MemberState::kReady,
                  std::uint64_t incarnation = 0, std::uint64_t life = 1) {
  Member member;
  member.address = address;
  member.life = life;
  member.data_centre = "dc1";
  member.region = "r1";
  member.state = state;
  member.incarnation = incarnation;
  return member;
}

MemberPointer Share(Member member) {
  return std::make_shared<const Member>(std::move(member));
}

MonotonicTime At(int seconds) {
  return MonotonicTime(std::chrono::seconds(seconds));
}

// Guards against tables that stay different after the same records arrived in
// another order.
TEST_CASE("merging is independent of order and repetition") {
  REQUIRE(rc::check([] {
    std::vector<MemberPointer> records;
    const int count = *rc::gen::inRange(1, 30);
    records.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      records.push_back(Share(
          MakeMember("peer" + std::to_string(*rc::gen::inRange(0, 4)),
                     static_cast<MemberState>(*rc::gen::inRange(0, 6)),
                     static_cast<std::uint64_t>(*rc::gen::inRange(0, 4)),
                     static_cast<std::uint64_t>(*rc::gen::inRange(1, 3)))));
    }
    MemberTable first(MakeMember("own"), {});
    MemberTable second(MakeMember("own"), {});
    for (const auto& record : records) first.Merge(At(1), record);
    auto shuffled = records;
    const int swaps = *rc::gen::inRange(0, 30);
    for (int i = 0; i < swaps; ++i) {
      std::swap(
          shuffled[static_cast<std::size_t>(*rc::gen::inRange(0, count))],
          shuffled[static_cast<std::size_t>(*rc::gen::inRange(0, count))]);
    }
    for (const auto& record : shuffled) second.Merge(At(1), record);
    for (const auto& record : records) second.Merge(At(2), record);
    RC_ASSERT(first.hash() == second.hash());
    RC_ASSERT(first.bucket_hashes() == second.bucket_hashes());
    for (const auto& record : records) {
      RC_ASSERT(*first.Find(record->address) == *second.Find(record->address));
    }
  }));
}

// Guards against a node that stays suspect or dead, or whose earlier life
// stays in force, although it runs.
TEST_CASE("a node refutes claims about itself and takes over earlier lives") {
  MemberTable own(MakeMember("own", MemberState::kStarting, 0, 9), {});
  REQUIRE(own.Merge(At(1), Share(MakeMember("own", MemberState::kReady, 7,
                                            1))) == MergeOutcome::kRefuted);
  REQUIRE(own.own().incarnation == 8);
  REQUIRE(own.own().life == 9);
  REQUIRE(own.Merge(At(1), Share(MakeMember("own", MemberState::kDead, 8,
                                            9))) == MergeOutcome::kRefuted);
  REQUIRE(own.own().state == MemberState::kStarting);
  MemberTable other(MakeMember("other"), {});
  other.Merge(At(1), Share(MakeMember("own", MemberState::kDead, 8, 9)));
  REQUIRE(other.Merge(At(1), own.own_pointer()) == MergeOutcome::kUpdated);
  REQUIRE(is_alive(*other.Find("own")));
}

// Guards against a failed member that stays in use, and against a death that
// is declared before the member could refute it.
TEST_CASE("a suspect becomes dead after the suspicion time") {
  MemberTable table(MakeMember("own"), {});
  table.Merge(At(1), Share(MakeMember("peer")));
  REQUIRE(table.Suspect(At(10), "peer"));
  table.Tick(At(12));
  REQUIRE(table.Find("peer")->state == MemberState::kSuspect);
  table.Tick(At(13));
  REQUIRE(table.Find("peer")->state == MemberState::kDead);
  REQUIRE(table.CountedMembers("dc1", At(20)) == 2);
  REQUIRE(table.CountedMembers("dc1", At(43)) == 1);
  table.Tick(At(13 + 7200 + 61));
  REQUIRE(table.Find("peer") == nullptr);
}

// Guards against damaged input that exhausts memory or cannot be refuted.
TEST_CASE("records out of bounds are rejected") {
  TableOptions options;
  options.maximum_members = 3;
  MemberTable table(MakeMember("own"), options);
  REQUIRE(table.Merge(At(1), nullptr) == MergeOutcome::kRejected);
  const std::vector<Member> damaged = {
      MakeMember(""), MakeMember(std::string(65, 'x')),
      MakeMember("peer", static_cast<MemberState>(6)),
      MakeMember("peer", MemberState::kReady, kMaximumIncarnation + 1)};
  for (const Member& member : damaged) {
    REQUIRE(table.Merge(At(1), Share(member)) == MergeOutcome::kRejected);
  }
  for (int i = 0; i < 10; ++i) {
    table.Merge(At(1), Share(MakeMember("peer" + std::to_string(i))));
  }
  REQUIRE(table.size() == 3);
}

// Guards against full synchronisation that misses records or sends a whole
// table at once.
TEST_CASE("tables become equal by bounded parts") {
  MemberTable full(MakeMember("a"), {});
  for (int i = 0; i < 500; ++i) {
    full.Merge(At(1), Share(MakeMember("peer" + std::to_string(i))));
  }
  MemberTable empty(MakeMember("b"), {});
  empty.Merge(At(1), full.own_pointer());
  full.Merge(At(1), empty.own_pointer());
  int parts = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++parts) {
    const TablePart part =
        full.DifferingPart(empty.bucket_hashes(), bucket, {}, 64);
    REQUIRE(part.records.size() <= 64);
    REQUIRE(part.next_bucket > bucket);
    for (const auto& record : part.records) empty.Merge(At(2), record);
    bucket = part.next_bucket;
  }
  REQUIRE(full.hash() == empty.hash());
  REQUIRE(parts >= 500 / 64);
}

// Guards against changes that are sent without end or are lost at once.
TEST_CASE("each change is transmitted a bounded number of times") {
  MemberTable table(MakeMember("own"), {});
  table.Merge(At(1), Share(MakeMember("peer")));
  int transmissions = 0;
  for (int i = 0; i < 100; ++i) {
    for (const auto& delta : table.TakeDeltas(8, "target")) {
      if (delta->address == "peer") ++transmissions;
    }
  }
  REQUIRE(transmissions == 5);  // 3 log2(2 + 1), rounded up
  REQUIRE_FALSE(table.has_deltas());
}

// Guards against nodes that disagree on the readers, and against the loss of
// one member that moves more than its own role.
TEST_CASE("rendezvous ranks agree and move only the lost member's role") {
  MemberTable first(MakeMember("node0"), {});
  MemberTable second(MakeMember("node1"), {});
  for (int i = 19; i >= 0; --i) {
    const auto record = Share(MakeMember("node" + std::to_string(i)));
    first.Merge(At(1), record);
    second.Merge(At(1), record);
  }
  const auto readers = first.ReadersOf("dc1", 3);
  REQUIRE(readers == second.ReadersOf("dc1", 3));
  MemberTable third(MakeMember("node2"), {});
  for (int i = 0; i < 20; ++i) {
    const std::string address = "node" + std::to_string(i);
    third.Merge(At(1), Share(MakeMember(address, address == readers[0]
                                                     ? MemberState::kDead
                                                     : MemberState::kReady)));
  }
  const auto after = third.ReadersOf("dc1", 2);
  if (readers[0] != "node2") {
    REQUIRE(after == std::vector<std::string>{readers[1], readers[2]});
  }
}

}  // namespace
}  // namespace oleandertide::membership
