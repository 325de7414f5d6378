#include "rollout/outcome_history.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "rollout/outcome_collector.h"

namespace oleandertide::rollout {
namespace {

constexpr StorePosition kOrder{.era = 1, .version = 5};

SentRequest Sent(bool is_new, std::string_view server = "a") {
  return {.service = "acervo",
          .order = kOrder,
          .route = "read",
          .server = server,
          .is_new = is_new};
}

std::uint64_t TotalOf(const OutcomeHistory& history) {
  return history.Analyse(0).evidence().total;
}

// Guards against outcomes that count twice, or not at all, when reports are
// lost, repeated or late.
TEST_CASE("reports may be lost and repeated") {
  OutcomeCollector collector;
  OutcomeHistory history;
  const auto tell = [&](std::uint64_t window) {
    const auto totals = collector.TotalsFrom("acervo", kOrder, window);
    history.Replace("node", totals.first_window, totals.outcomes);
  };
  for (std::uint64_t now = 0; now < 5000; now += 50) {
    collector.RecordFailure(Sent(true), 100'000 + now);
  }
  tell(0);
  REQUIRE(TotalOf(history) == 100);
  tell(0);
  tell(OutcomeWindowAt(103'000));
  REQUIRE(TotalOf(history) == 100);
  for (int i = 0; i < 10; ++i) collector.RecordFailure(Sent(true), 105'000);
  tell(OutcomeWindowAt(104'000));
  REQUIRE(TotalOf(history) == 110);
}

// Guards against evidence that is lost with the process that gathered it: the
// next life of a node tells less than the one before.
TEST_CASE("what an earlier life of a node told stays") {
  OutcomeHistory history;
  OutcomeCollector first;
  for (int i = 0; i < 20; ++i) first.RecordFailure(Sent(true), 100'000);
  auto totals = first.TotalsFrom("acervo", kOrder, 0);
  history.Replace("node", totals.first_window, totals.outcomes);
  OutcomeCollector second;
  totals = second.TotalsFrom("acervo", kOrder, 0);
  history.Replace("node", totals.first_window, totals.outcomes);
  REQUIRE(TotalOf(history) == 20);
  for (int i = 0; i < 5; ++i) second.RecordFailure(Sent(true), 103'000);
  totals = second.TotalsFrom("acervo", kOrder, 0);
  history.Replace("node", totals.first_window, totals.outcomes);
  REQUIRE(TotalOf(history) == 25);
}

// Guards against memory without bound, and against a version that turns bad
// late in a long order and is not noticed.
TEST_CASE("a long order keeps within its bound and notices what is recent") {
  OutcomeCollector collector;
  OutcomeHistory history;
  constexpr std::uint64_t kEndMs = 3'600'000;
  std::size_t most = 0;
  for (std::uint64_t now = 0; now < kEndMs; now += 500) {
    const bool is_bad = now + 10'000 > kEndMs;
    for (const std::string_view server : {"a", "b"}) {
      collector.RecordAnswer(Sent(true, server), is_bad,
                             std::chrono::milliseconds(10), now);
    }
    collector.RecordAnswer(Sent(false), false, std::chrono::milliseconds(10),
                           now);
    const std::uint64_t window = OutcomeWindowAt(now);
    const auto totals =
        collector.TotalsFrom("acervo", kOrder, window > 8 ? window - 8 : 0);
    history.Replace("node", totals.first_window, totals.outcomes);
    most = std::max(most,
                    collector.TotalsFrom("acervo", kOrder, 0).outcomes.size());
    if (!is_bad) REQUIRE(history.Analyse(0).verdict() != Verdict::kBad);
  }
  REQUIRE(most <= kMaxOutcomeCounters);
  REQUIRE(history.Analyse(0).verdict() == Verdict::kBad);
  // Nothing is lost by adding windows up.
  REQUIRE(TotalOf(history) == 2 * kEndMs / 500);
}

}  // namespace
}  // namespace oleandertide::rollout
