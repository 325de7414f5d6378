#include "acceptance/acceptance.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "acceptance/test_operator.h"
#include "core/hash.h"

namespace oleandertide::acceptance {
namespace {

using store::MemoryStore;
using store::TransactionFault;

constexpr std::string_view kFirst = "service rooms\njob reminders\n";
constexpr std::string_view kWithoutJob = "service rooms\n";
constexpr std::string_view kOther = "service rooms\nroute slots\n";

template <typename Kind, typename T>
const Kind& Expect(const Result<T>& result) {
  REQUIRE(result.has_value());
  REQUIRE(std::holds_alternative<Kind>(result.value()));
  return std::get<Kind>(result.value());
}

template <typename T>
std::error_code ErrorOf(const Result<T>& result) {
  return result.has_value() ? std::error_code() : result.error();
}

TEST_CASE("a document goes through trial to production") {
  MemoryStore store;
  TestOperator person(store, "ana", 1);
  CHECK(ErrorOf(person.Promote()) == Error::kNotFound);
  CHECK(ErrorOf(person.acceptance().Status(kTrial)) == Error::kNotFound);
  CHECK(person.acceptance().History(kTrial, 5).value().empty());

  const EnvironmentRecord first = Release(person, kFirst);
  CHECK(first.sequence == 1);
  CHECK(first.parent.empty());
  const EnvironmentRecord second = Release(person, kOther);
  CHECK(second.sequence == 2);
  CHECK(second.base == 1);
  CHECK(second.parent == ContentDigest(kFirst));
  CHECK(second.nonce != first.nonce);

  CHECK(person.acceptance().Status(kProduction).value() == second);
  CHECK(person.acceptance().History(kProduction, 5).value() ==
        std::vector{second, first});
  CHECK(person.acceptance().History(kProduction, 1).value() ==
        std::vector{second});
  CHECK(person.acceptance().FetchDocument(second.digest).value() == kOther);
}

TEST_CASE("an invalid document is refused before anything is stored") {
  MemoryStore store;
  TestOperator person(store, "ana", 1);
  CHECK(ErrorOf(person.Submit("invalid")) == Error::kInvalidArgument);
  CHECK(store.object_count() == 0);
  CHECK(store.row_count() == 0);
}

// Guards against the incident that the system exists for: a draft made before
// a feature was retired is promoted afterwards and brings its jobs back.
TEST_CASE("a stale draft cannot bring back what was retired") {
  MemoryStore store;
  TestOperator ana(store, "ana", 1);
  TestOperator bo(store, "bo", 2);
  Release(ana, kFirst);
  Expect<Accepted>(bo.Submit("service rooms\njob reminders\nroute slots\n"));
  const EnvironmentRecord stale = bo.acceptance().Status(kTrial).value();
  const EnvironmentRecord retirement = Release(ana, kWithoutJob);

  SECTION("by promoting the stale trial") {
    const auto trial = store.ReadRow(EnvironmentKey(kTrial), {}).value();
    const store::Condition condition{EnvironmentKey(kTrial),
                                     std::get<store::Row>(trial).version};
    const store::Write write{EnvironmentKey(kTrial),
                             FormatEnvironmentRecord(stale)};
    REQUIRE(store.Transact({&condition, 1}, {&write, 1}).has_value());
    const auto outcome = bo.Promote();
    const auto& conflict = Expect<Conflict>(outcome);
    CHECK(conflict.environment == kProduction);
    CHECK(conflict.expected == 1);
    CHECK(conflict.winner == retirement);
    CHECK(conflict.difference == "+job reminders\n+route slots\n");
  }
  SECTION("by submitting it again") {
    Expect<Accepted>(bo.Submit(kFirst));
    const auto outcome = bo.Promote();
    CHECK(Expect<RetiredItems>(outcome).items ==
          std::vector<DocumentItem>{{"job", "reminders"}});
  }
  SECTION("by submitting it for the sequence that it was drafted on") {
    const auto outcome = bo.acceptance().Submit({kFirst, bo.name(), 1});
    CHECK(Expect<Conflict>(outcome).winner == retirement);
  }
  CHECK(bo.acceptance().Status(kProduction).value() == retirement);
}

TEST_CASE("a retired name returns only when it is revived") {
  MemoryStore store;
  TestOperator person(store, "ana", 1);
  Release(person, kFirst);
  Release(person, kWithoutJob);
  Expect<Accepted>(person.Submit(kFirst));
  Expect<RetiredItems>(person.Promote({"slots", "route/reminders"}));
  const auto outcome = person.Promote({"job/reminders"});
  CHECK(Expect<Accepted>(outcome).revived ==
        std::vector<DocumentItem>{{"job", "reminders"}});
  // Once revived and retired again it is refused again.
  const auto retired_again = person.Submit(kWithoutJob);
  Expect<Accepted>(retired_again);
  const auto promoted = person.Promote();
  CHECK(Expect<Accepted>(promoted).retired ==
        std::vector<DocumentItem>{{"job", "reminders"}});
  Expect<Accepted>(person.Submit(kFirst));
  Expect<RetiredItems>(person.Promote());
}

TEST_CASE("names stay retired after a document without items") {
  MemoryStore store;
  TestOperator person(store, "ana", 1);
  Release(person, kFirst);
  Release(person, "");
  Expect<Accepted>(person.Submit(kFirst));
  CHECK(Expect<RetiredItems>(person.Promote()).items.size() == 2);
}

// Reading a row for each item of a large first document would exceed the
// platform's rate limit.
TEST_CASE("the first promotion takes four calls") {
  MemoryStore store;
  TestOperator person(store, "ana", 1);
  Expect<Accepted>(person.Submit(kFirst));
  store.set_calls_until_down(4);
  Expect<Accepted>(person.Promote());
}

TEST_CASE("going back to an old document is a new higher sequence") {
  MemoryStore store;
  TestOperator person(store, "ana", 1);
  const EnvironmentRecord old_record = Release(person, kWithoutJob);
  Release(person, kOther);
  const EnvironmentRecord record = Release(person, kWithoutJob);
  CHECK(record.sequence == 3);
  CHECK(record.digest == old_record.digest);
}

TEST_CASE("a trial is promoted once") {
  MemoryStore store;
  TestOperator person(store, "ana", 1);
  const EnvironmentRecord record = Release(person, kFirst);
  const auto again = person.Promote();
  CHECK(Expect<Conflict>(again).winner == record);
  CHECK(Expect<Conflict>(again).difference.empty());
}

// The operator compared one document; another one must not be promoted
// because it was submitted in between.
TEST_CASE("a trial that changes during the promotion is not promoted") {
  MemoryStore store;
  TestOperator ana(store, "ana", 1);
  TestOperator bo(store, "bo", 2);
  Expect<Accepted>(ana.Submit(kFirst));
  store.set_before_transaction([&] {
    store.set_before_transaction(nullptr);
    Expect<Accepted>(bo.Submit(kOther));
  });
  const auto outcome = ana.Promote();
  const auto& conflict = Expect<Conflict>(outcome);
  CHECK(conflict.environment == kTrial);
  CHECK(conflict.expected == 1);
  CHECK(conflict.winner->operator_name == "bo");
  CHECK(ErrorOf(ana.acceptance().Status(kProduction)) == Error::kNotFound);

  const auto other_trial =
      ana.acceptance().Promote({ana.name(), {}, /*trial_sequence=*/1});
  CHECK(Expect<Conflict>(other_trial).environment == kTrial);
}

TEST_CASE("operators on real threads: exactly one promotes") {
  constexpr std::size_t kOperators = 10;
  MemoryStore store;
  TestOperator author(store, "author", 99);
  Expect<Accepted>(author.Submit(kFirst));
  std::vector<std::unique_ptr<TestOperator>> people;
  std::vector<std::optional<Result<Outcome>>> outcomes(kOperators);
  std::vector<std::thread> threads;
  threads.reserve(kOperators);
  for (std::size_t i = 0; i < kOperators; ++i) {
    people.push_back(
        std::make_unique<TestOperator>(store, std::to_string(i), i));
    threads.emplace_back([&outcomes, i, person = people.back().get()] {
      outcomes[i] = person->Promote();
    });
  }
  for (std::thread& thread : threads) thread.join();
  const EnvironmentRecord winner =
      author.acceptance().Status(kProduction).value();
  std::size_t accepted = 0;
  for (const auto& outcome : outcomes) {
    REQUIRE(outcome->has_value());
    if (const auto* own = std::get_if<Accepted>(&outcome->value())) {
      ++accepted;
      CHECK(own->record == winner);
    } else {
      CHECK(Expect<Conflict>(*outcome).winner == winner);
    }
  }
  CHECK(accepted == 1);
}

TEST_CASE("a write delivered after the resolve timeout is reported unknown") {
  MemoryStore store;
  TestOperator ana(store, "ana", 1);
  TestOperator bo(store, "bo", 2);
  Expect<Accepted>(ana.Submit(kFirst));
  store.AddTransactionFault(TransactionFault::kDelayRequest);
  const auto outcome = ana.Promote();
  const auto& undecided = Expect<Undecided>(outcome);
  CHECK(ana.waiter().Now() - MonotonicTime() == std::chrono::seconds(10));

  SECTION("and takes effect afterwards") {
    CHECK(store.DeliverDelayed() == 1);
    CHECK(ana.acceptance().Status(kProduction).value() == undecided.record);
    const auto late = bo.Promote();
    CHECK(Expect<Conflict>(late).winner == undecided.record);
  }
  SECTION("and takes no effect once another promotion won") {
    Expect<Accepted>(bo.Promote());
    CHECK(store.DeliverDelayed() == 0);
    CHECK_FALSE(FindRecordOf(store, kProduction, "ana").has_value());
  }
}

TEST_CASE("a platform that is down accepts nothing and says so") {
  MemoryStore store;
  TestOperator person(store, "ana", 1);
  store.set_down(true);
  CHECK(ErrorOf(person.Submit(kFirst)) == Error::kUnavailable);
  CHECK(ErrorOf(person.Promote()) == Error::kUnavailable);
  CHECK(ErrorOf(person.acceptance().Status(kTrial)) == Error::kUnavailable);
  store.set_down(false);
  CHECK(store.row_count() == 0);
  Expect<Accepted>(person.Submit(kFirst));
  // Down right after the answer: the promotion stands.
  store.set_before_transaction([&] { store.set_calls_until_down(1); });
  Expect<Accepted>(person.Promote());
  CHECK(ErrorOf(person.acceptance().Status(kTrial)) == Error::kUnavailable);
  store.set_down(false);
  CHECK(person.acceptance().Status(kProduction).value().sequence == 1);
}

// A damaged document compared with the new one would hide what is retired.
TEST_CASE("a damaged document is not promoted or compared") {
  MemoryStore store;
  TestOperator person(store, "ana", 1);
  Release(person, kFirst);
  SECTION("production's") {
    Expect<Accepted>(person.Submit(kWithoutJob));
    store.DamageObject(ContentDigest(kFirst), kOther);
  }
  SECTION("trial's") {
    Expect<Accepted>(person.Submit(kWithoutJob));
    store.DamageObject(ContentDigest(kWithoutJob), kOther);
  }
  CHECK(ErrorOf(person.Promote()) == Error::kDataDamaged);
  CHECK(person.acceptance().Status(kProduction).value().sequence == 1);
}

TEST_CASE("a change of too many items for one transaction is refused") {
  // The environment's, the history's and the trial's row are named beside
  // those of the retired items.
  constexpr std::size_t kMostItems = store::kMaximumTransactionRows - 3;
  for (const std::size_t items : {kMostItems, kMostItems + 1}) {
    MemoryStore store;
    TestOperator person(store, "ana", 1);
    std::string document(kWithoutJob);
    for (std::size_t i = 0; i < items; ++i) {
      document += "job " + std::to_string(i) + '\n';
    }
    Release(person, document);
    Expect<Accepted>(person.Submit(kWithoutJob));
    const auto error =
        items == kMostItems ? std::error_code() : Error::kTooLarge;
    CHECK(ErrorOf(person.Promote()) == error);
  }
}

TEST_CASE("a damaged record is refused") {
  const EnvironmentRecord record{3, ContentDigest("x"), "", 2, "n", "ana"};
  const std::string text = FormatEnvironmentRecord(record);
  CHECK(ParseEnvironmentRecord(text).value() == record);
  for (const auto& [good, bad] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"sequence\":3", "\"sequence\":0"},
           {"\"sequence\":3", "\"sequence\":-3"},
           {"\"sequence\":3", "\"sequence\":\"3\""},
           {"\"base\":2", "\"base\":2.5"},
           {"\"nonce\"", "\"once\""},
           {record.digest, record.digest.substr(1)},
           {"}", ""}}) {
    std::string damaged = text;
    damaged.replace(damaged.find(good), good.size(), bad);
    CAPTURE(damaged);
    CHECK(ErrorOf(ParseEnvironmentRecord(damaged)) == Error::kDataDamaged);
  }
  CHECK(ErrorOf(ParseRetirement("-1")) == Error::kDataDamaged);
  CHECK(ErrorOf(ParseRetirement("")) == Error::kDataDamaged);
}

}  // namespace
}  // namespace oleandertide::acceptance
