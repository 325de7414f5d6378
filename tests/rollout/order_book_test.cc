#include "rollout/order_book.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace oleandertide::rollout {
namespace {

using std::chrono::seconds;

Order MakeOrder(std::uint64_t version, const std::string& to = "v2") {
  return {.service = "acervo",
          .to = to,
          .duration = seconds(12),
          .position = {.version = version}};
}

OrderState MakeState(std::uint64_t version, Step step,
                     std::uint32_t share = 0) {
  return {.order = MakeOrder(version), .step = step, .share_permille = share};
}

// A moment of an era that the store does not tell.
StoreMoment At(std::uint64_t version) {
  return {.position = {.version = version}, .time_ms = 1000};
}

// Guards against late messages that undo a step: a node that was partitioned
// told the others that a version that was rolled back was still on trial.
TEST_CASE("states converge to the same whatever the sequence") {
  std::vector<OrderState> states = {
      MakeState(5, Step::kOrdered),     MakeState(5, Step::kTrial, 30),
      MakeState(5, Step::kTrial, 60),   MakeState(5, Step::kReplacing),
      MakeState(5, Step::kRollingBack), MakeState(5, Step::kRolledBack),
      MakeState(3, Step::kCompleted)};
  std::mt19937 random(1);
  for (int round = 0; round < 100; ++round) {
    std::shuffle(states.begin(), states.end(), random);
    OrderBook book;
    for (const OrderState& state : states) book.Merge(state);
    for (const OrderState& state : states) REQUIRE_FALSE(book.Merge(state));
    REQUIRE(book.Find("acervo")->step == Step::kRolledBack);
    REQUIRE(book.Find("acervo")->order.position.version == 5);
  }
}

// Guards against a version on trial that gets all traffic when the operator
// removes the order while its backend servers still run.
TEST_CASE("a removed order holds its version back until its time is over") {
  OrderBook book;
  REQUIRE(book.Put(MakeOrder(5)));
  REQUIRE(book.Remove("acervo", At(8)));
  REQUIRE(book.Find("acervo")->step == Step::kCancelled);
  book.Advance(12'999);
  REQUIRE(book.Find("acervo") != nullptr);
  book.Advance(13'000);
  REQUIRE(book.Find("acervo") == nullptr);
  // A node that missed the removal does not bring the order back.
  REQUIRE_FALSE(book.Merge(MakeState(5, Step::kTrial, 50)));
  REQUIRE(book.Find("acervo") == nullptr);
  // A new order holds.
  REQUIRE(book.Put(MakeOrder(9)));
  REQUIRE(book.Find("acervo")->step == Step::kOrdered);
}

// Guards against an order that stays in force for ever: the reader of the store
// saw only its removal, and another node that had read the order told of it.
TEST_CASE("an order that the store has removed is not taken from a node") {
  OrderBook book;
  book.RecordRead(At(8));
  REQUIRE(book.Merge(MakeState(5, Step::kOrdered)));
  REQUIRE(book.Find("acervo")->step == Step::kCancelled);
  // One that is newer than what was read holds.
  REQUIRE(book.Merge(MakeState(9, Step::kOrdered)));
  REQUIRE(book.Find("acervo")->step == Step::kOrdered);
}

// Guards against a removal that is derived from an answer of the store that is
// older than the order.
TEST_CASE("a table that was read before the order does not remove it") {
  OrderBook book;
  REQUIRE(book.Put(MakeOrder(9)));
  REQUIRE_FALSE(book.RemoveOthers({}, At(8)));
  REQUIRE(book.Find("acervo")->step == Step::kOrdered);
  REQUIRE(book.RemoveOthers({}, At(10)));
  REQUIRE(book.Find("acervo")->step == Step::kCancelled);
}

// Guards against a version whose trial was not completed and that counts as the
// old one after the next order.
TEST_CASE("a second order withholds the version of an unfinished one") {
  OrderBook first;
  first.Put(MakeOrder(5, "v2"));
  first.Put(MakeOrder(9, "v3"));
  REQUIRE(first.Find("acervo")->withheld == "v2");
  // A node that knew only the second learns of it from the first.
  OrderBook second;
  second.Put(MakeOrder(9, "v3"));
  second.Merge(first.states().front());
  REQUIRE(second.Find("acervo")->withheld == "v2");
  // The decider's next step does not lose it.
  OrderState trial{.order = MakeOrder(9, "v3"), .step = Step::kTrial};
  second.Merge(trial);
  REQUIRE(second.Find("acervo")->withheld == "v2");
  // A completed version is the old one of the next order.
  OrderBook completed;
  completed.Merge(MakeState(5, Step::kCompleted));
  completed.Put(MakeOrder(9, "v3"));
  REQUIRE(completed.Find("acervo")->withheld.empty());
}

Order OrderOfEra(std::uint64_t era, std::uint64_t version,
                 const std::string& to = "v2") {
  Order order = MakeOrder(version, to);
  order.position.era = era;
  return order;
}

StoreMoment MomentOfEra(std::uint64_t era, std::uint64_t version) {
  return {.position = {.era = era, .version = version}, .time_ms = 1000};
}

// Guards against an order that is taken for cancelled because the store gave
// its version out before it returned from a copy (case review/7).
TEST_CASE("a version of an earlier era does not cancel an order") {
  OrderBook book;
  book.RecordRead(MomentOfEra(1, 50));
  SECTION("told by another node") {
    REQUIRE(book.Merge({.order = OrderOfEra(2, 30)}));
  }
  SECTION("read from the store") {
    REQUIRE(book.Put(OrderOfEra(2, 30)));
    REQUIRE_FALSE(book.RemoveOthers({}, MomentOfEra(1, 60)));
  }
  REQUIRE(book.Find("acervo")->step == Step::kOrdered);
  REQUIRE(book.Find("acervo")->over_at_ms == 0);
  // Within its era, an order that the table lacks is removed.
  book.RecordRead(MomentOfEra(2, 40));
  REQUIRE(book.RemoveOthers({}, MomentOfEra(2, 40)));
  REQUIRE(book.Find("acervo")->step == Step::kCancelled);
}

// Guards against an order of before the return that hides the one after it.
TEST_CASE("an order of a later era replaces one with a greater version") {
  OrderBook book;
  REQUIRE(book.Put(OrderOfEra(1, 60, "v2")));
  REQUIRE(book.Put(OrderOfEra(2, 30, "v3")));
  REQUIRE(book.Find("acervo")->order.to == "v3");
  REQUIRE(book.Find("acervo")->withheld == "v2");
  REQUIRE_FALSE(
      book.Merge({.order = OrderOfEra(1, 60, "v2"), .step = Step::kReplacing}));
  REQUIRE(book.Find("acervo")->order.to == "v3");
}

// Guards against a bad version that gets a second trial, and a completed one
// whose old backend servers are asked for again, because the store returned.
TEST_CASE("an order that is written again goes on where it was") {
  const auto step_after = [](Step step, std::uint32_t share) {
    OrderBook book;
    book.Merge({.order = OrderOfEra(1, 60),
                .step = step,
                .share_permille = share,
                .known_at_ms = 500});
    // The table is read before the operator has written it again.
    book.RemoveOthers({}, MomentOfEra(2, 20));
    book.RecordRead(MomentOfEra(2, 20));
    REQUIRE(book.Find("acervo")->step == step);
    REQUIRE(book.Put(OrderOfEra(2, 30), 2000));
    REQUIRE(book.Find("acervo")->over_at_ms == 0);
    REQUIRE(book.Find("acervo")->known_at_ms == 500);
    REQUIRE(book.Find("acervo")->share_permille == share);
    return book.Find("acervo")->step;
  };
  REQUIRE(step_after(Step::kOrdered, 0) == Step::kOrdered);
  REQUIRE(step_after(Step::kTrial, 80) == Step::kTrial);
  REQUIRE(step_after(Step::kRollingBack, 0) == Step::kRollingBack);
  // The status may be lost, so a finished order takes its last step again.
  REQUIRE(step_after(Step::kRolledBack, 0) == Step::kRollingBack);
  REQUIRE(step_after(Step::kCompleted, 0) == Step::kReplacing);
}

// Guards against nodes of the last landing, which tell no era, that are not
// listened to.
TEST_CASE("an order of unknown era is one of the known era") {
  OrderBook book;
  book.Put(OrderOfEra(2, 30));
  REQUIRE(book.Merge(MakeState(30, Step::kRollingBack)));
  REQUIRE(book.Find("acervo")->step == Step::kRollingBack);
  REQUIRE(book.Merge(MakeState(31, Step::kOrdered)));
  REQUIRE(book.Find("acervo")->order.position == StorePosition{2, 31});
}

// Guards against status messages without bound.
TEST_CASE("the number of orders is bounded") {
  OrderBook book;
  for (std::size_t i = 0; i < 2 * OrderBook::kMaxOrders; ++i) {
    Order order = MakeOrder(i + 1);
    order.service += std::to_string(i);
    book.Put(order);
  }
  REQUIRE(book.states().size() == OrderBook::kMaxOrders);
}

}  // namespace
}  // namespace oleandertide::rollout
