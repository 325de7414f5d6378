// Accounts of clients that hold memory, without sockets.

#include "sidecar/byte_budget.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kKb = 1000;
constexpr ByteBudget::Options kOptions = {.capacity = 1000 * kKb,
                                          .reserve = 100 * kKb,
                                          .small_bytes = 10 * kKb,
                                          .client_share = 0.5,
                                          .stall_limit = milliseconds(1000)};

class Fixture {
 public:
  ByteBudget::AccountId Open(const std::string& client) {
    const auto id = budget.Open(
        client, [] {}, now);
    return id;
  }

  MonotonicTime now{};
  ByteBudget budget{kOptions};
};

}  // namespace

// Guards against a process that ends by bodies which are each of legal size.
TEST_CASE("all accounts together hold no more than the capacity") {
  Fixture fixture;
  std::size_t held = 0;
  for (int i = 0; i < 20; ++i) {
    const auto id = fixture.Open("a");
    if (fixture.budget.Set(id, 200 * kKb, fixture.now)) held += 200 * kKb;
  }
  REQUIRE(held == 800 * kKb);
  REQUIRE(fixture.budget.used() == held);
  REQUIRE(fixture.budget.refused_count() == 16);
}

// Guards against ordinary requests that are refused beside large ones.
TEST_CASE("the reserve is kept for small accounts") {
  Fixture fixture;
  REQUIRE(fixture.budget.Set(fixture.Open("a"), 900 * kKb, fixture.now));
  REQUIRE_FALSE(fixture.budget.Set(fixture.Open("a"), 11 * kKb, fixture.now));
  for (int i = 0; i < 10; ++i) {
    REQUIRE(fixture.budget.Set(fixture.Open("b"), 10 * kKb, fixture.now));
  }
  REQUIRE_FALSE(fixture.budget.Set(fixture.Open("b"), 10 * kKb, fixture.now));
}

// Guards against one client that takes the memory of others.
TEST_CASE("a client has its share while others hold any") {
  Fixture fixture;
  const auto first = fixture.Open("a");
  const auto second = fixture.Open("a");
  REQUIRE(fixture.budget.Set(first, 300 * kKb, fixture.now));
  const auto other = fixture.Open("b");
  REQUIRE(fixture.budget.Set(other, kKb, fixture.now));
  REQUIRE(fixture.budget.Set(second, 200 * kKb, fixture.now));
  REQUIRE_FALSE(fixture.budget.Set(second, 201 * kKb, fixture.now));
  REQUIRE(fixture.budget.Set(other, 300 * kKb, fixture.now));
  fixture.budget.Close(other);
  REQUIRE(fixture.budget.Set(second, 600 * kKb, fixture.now));
}

// Guards against memory that stays with clients which stop short of the end of
// their bodies, and against an order that meets those which still send.
TEST_CASE("the longest without progress gives way when memory is short") {
  Fixture fixture;
  std::vector<int> evicted;
  const auto open = [&](int number) {
    const auto id = fixture.budget.Open(
        "a", [&evicted, number] { evicted.push_back(number); }, fixture.now);
    fixture.budget.SetWaiting(id, true, fixture.now);
    REQUIRE(fixture.budget.Set(id, 300 * kKb, fixture.now));
    return id;
  };
  const auto first = open(1);
  fixture.now += milliseconds(100);
  open(2);
  fixture.now += milliseconds(100);
  open(3);
  const auto next = fixture.Open("a");
  // None is stalled yet.
  REQUIRE_FALSE(fixture.budget.Set(next, 300 * kKb, fixture.now));
  fixture.now += milliseconds(950);
  fixture.budget.RecordProgress(first, fixture.now);
  REQUIRE(fixture.budget.Set(next, 300 * kKb, fixture.now));
  REQUIRE(evicted == std::vector{2});
  // One whose request runs does not wait for its client.
  fixture.now += milliseconds(2000);
  fixture.budget.SetWaiting(first, false, fixture.now);
  REQUIRE_FALSE(fixture.budget.Set(next, 900 * kKb, fixture.now));
  REQUIRE(evicted == std::vector{2, 3});
  REQUIRE(fixture.budget.used() == 600 * kKb);
}

// Guards against links that are lost, and their calls with them, because
// clients hold the memory; and against clients that are refused their share
// because a link is in use.
TEST_CASE("a link uses the reserve and counts in no share") {
  Fixture fixture;
  const auto client = fixture.Open("a");
  const auto link = fixture.budget.OpenMesh(fixture.now);
  REQUIRE(fixture.budget.Set(client, 400 * kKb, fixture.now));
  REQUIRE(fixture.budget.Set(link, 100 * kKb, fixture.now));
  // More than half of the capacity, but no other client holds any.
  REQUIRE(fixture.budget.Set(client, 800 * kKb, fixture.now));
  REQUIRE(fixture.budget.Set(link, 200 * kKb, fixture.now));
  REQUIRE_FALSE(fixture.budget.Set(link, 201 * kKb, fixture.now));
  REQUIRE_FALSE(fixture.budget.Set(client, 801 * kKb, fixture.now));
  fixture.budget.Close(link);
  REQUIRE(fixture.budget.used() == 800 * kKb);
}

// Guards against clients that hold up links by bodies which never stall,
// against small requests and answers that are given up for a link, and against
// evictions that are of no use.
TEST_CASE("large bodies that arrive give way to a link") {
  Fixture fixture;
  std::vector<int> evicted;
  const auto open = [&](int number, std::size_t bytes, bool is_waiting,
                        bool is_for_body) {
    const auto id = fixture.budget.Open(
        "a", [&evicted, number] { evicted.push_back(number); }, fixture.now);
    fixture.now += milliseconds(1);
    fixture.budget.SetWaiting(id, is_waiting, fixture.now, is_for_body);
    REQUIRE(fixture.budget.Set(id, bytes, fixture.now));
  };
  open(0, 100 * kKb, true, false);
  open(1, 10 * kKb, true, true);
  open(2, 100 * kKb, false, false);
  open(3, 300 * kKb, true, true);
  open(4, 300 * kKb, true, true);
  const auto link = fixture.budget.OpenMesh(fixture.now);
  REQUIRE_FALSE(fixture.budget.Set(link, 791 * kKb, fixture.now));
  REQUIRE(evicted.empty());
  REQUIRE(fixture.budget.Set(link, 400 * kKb, fixture.now));
  REQUIRE(evicted == std::vector{3});
  REQUIRE(fixture.budget.Set(link, 790 * kKb, fixture.now));
  REQUIRE(evicted == std::vector{3, 4});
  REQUIRE(fixture.budget.used() == 1000 * kKb);
}

// Guards against the loss of an answer that is ready, and against clients that
// are granted what such answers hold.
TEST_CASE("an answer that is ready is counted even if it does not fit") {
  Fixture fixture;
  fixture.budget.Force(fixture.Open("a"), 1200 * kKb);
  REQUIRE(fixture.budget.used() == 1200 * kKb);
  REQUIRE(fixture.budget.refused_count() == 0);
  REQUIRE_FALSE(fixture.budget.Set(fixture.Open("a"), kKb, fixture.now));
}

// Guards against a process that ends by answers without end, and against the
// loss of the answers beside them.
TEST_CASE("the largest answer that is being read gives way") {
  Fixture fixture;
  std::vector<int> evicted;
  const auto open = [&](int number) {
    return fixture.budget.OpenAnswer(
        [&evicted, number] { evicted.push_back(number); }, fixture.now);
  };
  const auto first = open(1);
  const auto second = open(2);
  const auto third = open(3);
  REQUIRE(fixture.budget.Set(first, 200 * kKb, fixture.now));
  REQUIRE(fixture.budget.Set(second, 500 * kKb, fixture.now));
  // The reserve is left to others.
  REQUIRE(fixture.budget.Set(third, 200 * kKb, fixture.now));
  REQUIRE_FALSE(fixture.budget.Set(third, 600 * kKb, fixture.now));
  REQUIRE(evicted.empty());
  REQUIRE(fixture.budget.Set(third, 300 * kKb, fixture.now));
  REQUIRE(evicted == std::vector{2});
  REQUIRE(fixture.budget.used() == 500 * kKb);
  // Not for a client, whose request has not run.
  REQUIRE_FALSE(fixture.budget.Set(fixture.Open("a"), 450 * kKb, fixture.now));
  REQUIRE(fixture.budget.Set(fixture.Open("a"), 10 * kKb, fixture.now));
  // For a link, whose end would meet all its calls.
  const auto link = fixture.budget.OpenMesh(fixture.now);
  REQUIRE(fixture.budget.Set(link, 600 * kKb, fixture.now));
  REQUIRE(evicted == std::vector{2, 3});
  REQUIRE(fixture.budget.Set(link, 900 * kKb, fixture.now));
  REQUIRE(evicted == std::vector{2, 3, 1});
  // A small answer, and one alone.
  const auto small = open(4);
  REQUIRE(fixture.budget.Set(small, 10 * kKb, fixture.now));
  REQUIRE_FALSE(fixture.budget.Set(link, 990 * kKb, fixture.now));
  fixture.budget.Close(link);
  REQUIRE(fixture.budget.Set(small, 890 * kKb, fixture.now));
  REQUIRE_FALSE(fixture.budget.Set(small, 891 * kKb, fixture.now));
}

// Guards against answers that are given up for bodies of requests which have
// not run.
TEST_CASE("large bodies that arrive give way to an answer") {
  Fixture fixture;
  std::vector<int> evicted;
  const auto client = fixture.budget.Open(
      "a", [&evicted] { evicted.push_back(1); }, fixture.now);
  fixture.budget.SetWaiting(client, true, fixture.now, true);
  REQUIRE(fixture.budget.Set(client, 800 * kKb, fixture.now));
  const auto larger = fixture.budget.OpenAnswer(
      [&evicted] { evicted.push_back(2); }, fixture.now);
  REQUIRE(fixture.budget.Set(larger, 100 * kKb, fixture.now));
  const auto answer = fixture.budget.OpenAnswer({}, fixture.now);
  REQUIRE(fixture.budget.Set(answer, 50 * kKb, fixture.now));
  REQUIRE(evicted == std::vector{1});
}

// Guards against a process that ends because the eviction of a client cancels
// the call whose answer asks for memory.
TEST_CASE("an eviction may close the account that asks") {
  Fixture fixture;
  const bool is_answer = GENERATE(false, true);
  const auto asking = is_answer ? fixture.budget.OpenAnswer({}, fixture.now)
                                : fixture.budget.OpenMesh(fixture.now);
  const auto client = fixture.budget.Open(
      "a", [&] { fixture.budget.Close(asking); }, fixture.now);
  fixture.budget.SetWaiting(client, true, fixture.now, true);
  REQUIRE(fixture.budget.Set(client, 800 * kKb, fixture.now));
  REQUIRE_FALSE(fixture.budget.Set(asking, 500 * kKb, fixture.now));
  REQUIRE(fixture.budget.used() == 0);
}

TEST_CASE("without a capacity everything is granted") {
  ByteBudget budget(ByteBudget::ForMemory(0));
  const auto id = budget.Open("a", {}, MonotonicTime{});
  REQUIRE(budget.Set(id, std::size_t{1} << 40U, MonotonicTime{}));
}

// Guards against a largest legal body that is refused in calm on the smallest
// machine of the users, also beside a call of another node.
TEST_CASE("a body of 64 MiB fits into 160 MB") {
  constexpr std::size_t kMiB = std::size_t{1} << 20U;
  ByteBudget budget(ByteBudget::ForMemory(160));
  const auto id = budget.Open("a", {}, MonotonicTime{});
  REQUIRE(budget.Set(id, 64 * kMiB, MonotonicTime{}));
  const auto body = budget.Detach(id, 64 * kMiB);
  REQUIRE(budget.ChargeCall(50 * kMiB, MonotonicTime{}));
  REQUIRE(ByteBudget::UnreadBytesForMemory(160) + budget.capacity() <=
          140'000'000);
}

// Guards against bytes that leave the account with the connection on which they
// came, while a link or the backend server still needs them.
TEST_CASE("a charge counts until the bytes are gone") {
  Fixture fixture;
  const auto id = fixture.Open("a");
  REQUIRE(fixture.budget.Set(id, 300 * kKb, fixture.now));
  ByteCharge charge = fixture.budget.Detach(id, 200 * kKb);
  REQUIRE(fixture.budget.held(ByteHolder::kConnections) == 100 * kKb);
  REQUIRE(fixture.budget.held(ByteHolder::kRequests) == 200 * kKb);
  fixture.budget.Close(id);
  REQUIRE(fixture.budget.used() == 200 * kKb);
  const auto other = fixture.Open("b");
  REQUIRE(fixture.budget.Set(other, kKb, fixture.now));
  // The bytes still count in their client's share.
  REQUIRE_FALSE(fixture.budget.Set(fixture.Open("a"), 301 * kKb, fixture.now));
  ByteCharge moved = std::move(charge);
  charge = ByteCharge();
  REQUIRE(fixture.budget.used() == 201 * kKb);
  moved = ByteCharge();
  REQUIRE(fixture.budget.used() == kKb);
}

TEST_CASE("a charge may outlive its budget") {
  auto budget = std::make_unique<ByteBudget>(kOptions);
  auto charge = budget->ForceCharge(ByteHolder::kLinks, kKb);
  budget.reset();
  charge.Resize(2 * kKb);
  REQUIRE(charge.bytes() == 2 * kKb);
}

// Guards against a process that ends by what other nodes send while its own
// clients hold all memory, and against ordinary requests that are refused
// beside large calls.
TEST_CASE("a call for which there is no room is refused") {
  Fixture fixture;
  REQUIRE(fixture.budget.Set(fixture.Open("a"), 700 * kKb, fixture.now));
  auto first = fixture.budget.ChargeCall(200 * kKb, fixture.now);
  REQUIRE(first);
  REQUIRE(fixture.budget.held(ByteHolder::kCalls) == 200 * kKb);
  REQUIRE_FALSE(fixture.budget.ChargeCall(11 * kKb, fixture.now));
  REQUIRE(fixture.budget.refused_count() == 1);
  REQUIRE(fixture.budget.ChargeCall(10 * kKb, fixture.now));
  REQUIRE(fixture.budget.Set(fixture.Open("a"), 10 * kKb, fixture.now));
  first.reset();
  REQUIRE(fixture.budget.ChargeCall(100 * kKb, fixture.now));
}

// Guards against an answer that is lost for a call which can be refused.
TEST_CASE("large bodies that arrive give way to a call, answers do not") {
  Fixture fixture;
  int evicted = 0;
  const auto body = fixture.budget.Open(
      "a", [&evicted] { ++evicted; }, fixture.now);
  fixture.budget.SetWaiting(body, true, fixture.now, true);
  REQUIRE(fixture.budget.Set(body, 300 * kKb, fixture.now));
  const auto answer = fixture.budget.OpenAnswer(
      [] { FAIL("an answer gave way"); }, fixture.now);
  REQUIRE(fixture.budget.Set(answer, 500 * kKb, fixture.now));
  // Its eviction would be of no use.
  REQUIRE_FALSE(fixture.budget.ChargeCall(401 * kKb, fixture.now));
  REQUIRE(evicted == 0);
  REQUIRE(fixture.budget.ChargeCall(400 * kKb, fixture.now));
  REQUIRE(evicted == 1);
}

// Guards against sums that drift from what the accounts hold.
TEST_CASE("the sum is that of the open accounts after any steps") {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    Fixture fixture;
    std::map<ByteBudget::AccountId, std::size_t> held;
    std::vector<ByteBudget::AccountId> ids;
    std::set<ByteBudget::AccountId> clients;
    const auto below = [&](std::size_t limit) { return random() % limit; };
    for (int step = 0; step < 2000; ++step) {
      fixture.now += milliseconds(below(300));
      if (ids.empty() || below(10) == 0) {
        const auto self = std::make_shared<ByteBudget::AccountId>(0);
        const auto on_evict = [&held, self] { held[*self] = 0; };
        switch (below(4)) {
          case 0:
            *self = fixture.budget.OpenAnswer(on_evict, fixture.now);
            break;
          case 1:
            *self = fixture.budget.OpenMesh(fixture.now);
            break;
          default:
            *self = fixture.budget.Open(below(2) == 0 ? "a" : "b", on_evict,
                                        fixture.now);
            clients.insert(*self);
            break;
        }
        ids.push_back(*self);
        held[*self] = 0;
        continue;
      }
      const std::size_t at = below(ids.size());
      const auto id = ids[at];
      const std::size_t bytes = below(400 * kKb) / (below(2) == 0 ? 1 : 50);
      switch (below(6)) {
        case 0:
          fixture.budget.Close(id);
          held.erase(id);
          ids.erase(ids.begin() + static_cast<std::ptrdiff_t>(at));
          break;
        case 1:
          if (clients.contains(id)) {
            fixture.budget.SetWaiting(id, below(2) == 0, fixture.now);
          }
          break;
        case 2:
          fixture.budget.RecordProgress(id, fixture.now);
          break;
        default:
          if (fixture.budget.Set(id, bytes, fixture.now)) held[id] = bytes;
          break;
      }
      std::size_t sum = 0;
      for (const auto& [each, size] : held) sum += size;
      REQUIRE(fixture.budget.used() == sum);
      REQUIRE(sum <= kOptions.capacity);
    }
  }
}

}  // namespace oleandertide::sidecar
