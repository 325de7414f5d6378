#include "rollout/decider.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rollout/exposure.h"
#include "rollout/order_book.h"

namespace oleandertide::rollout {
namespace {

constexpr double kMaxShare = 0.1;
constexpr std::uint64_t kStartMs = 1000;
constexpr std::uint64_t kStepMs = 50;
// Reports, and the state at the nodes behind the decider's.
constexpr std::uint64_t kReportMs = 200;
constexpr std::uint64_t kLongestRunMs = 2500;
constexpr std::size_t kServers = 10;
// The least of a service of the print-on-demand deployment.
constexpr double kRate = 270;

struct Scenario {
  std::uint64_t duration_ms = 16'000;
  // Since the order.
  std::uint64_t ready_ms = 1500;
  std::size_t new_servers = kServers;
  Decider::Options options{};
  // Probability that an answer of the new version is bad, by seconds since its
  // start and by its share of the usual load of a server.
  std::function<double(double seconds, double load)> new_bad =
      [](double, double) { return 0.01; };
  // Since the order; the decider is replaced by one without evidence.
  std::uint64_t restart_ms = 0;
};

struct Outcome {
  Step step = Step::kOrdered;
  // Since the order; when the status is wanted.
  std::uint64_t ended_ms = 0;
  int harmed = 0;
  std::vector<std::uint32_t> shares{};
  bool has_replaced = false;
  // Of the requests at an ingress, at any time before all traffic was moved.
  bool has_kept_bound = true;
  std::optional<std::uint64_t> fiftieth_bad_ms{};
  std::uint64_t last_new_ms = 0;
};

// Runs one order over 6 unequal ingresses until its deadline.
Outcome Run(const Scenario& scenario, unsigned seed) {
  std::mt19937 random(seed);
  OrderState state{
      .order = {.service = "acervo",
                .to = "v2",
                .duration = std::chrono::milliseconds(scenario.duration_ms),
                .position = {.version = 5}}};
  std::optional<Decider> decider(std::in_place, scenario.options, state,
                                 kStartMs);
  struct Ingress {
    Exposure exposure{kMaxShare};
    int sent = 0;
    int sent_to_new = 0;
  };
  std::vector<Ingress> ingresses(6);
  std::discrete_distribution<std::size_t> ingress_of({8, 5, 3, 2, 1, 1});
  OrderState known = state;
  std::array<double, kServers> load{};
  std::array<OutcomeCounts, kServers> counts{};
  OutcomeCounts old_counts;
  std::uint64_t replaced_ms = 0;
  Outcome outcome;
  for (std::uint64_t time = 0; time < scenario.duration_ms; time += kStepMs) {
    const std::uint64_t now = kStartMs + time;
    const bool is_ready = time >= scenario.ready_ms;
    constexpr double kSeconds = kStepMs / 1000.0;
    std::poisson_distribution<int> arrivals(kRate * kSeconds);
    std::array<int, kServers> in_step{};
    for (int i = arrivals(random); i > 0; --i) {
      Ingress& ingress = ingresses[ingress_of(random)];
      const auto rule = ingress.exposure.Choose(&known, true);
      const bool is_new = is_ready && (rule == VersionRule::kNewFirst ||
                                       rule == VersionRule::kNewOnly);
      ingress.exposure.RecordSent(known, is_new ? "v2" : "v1");
      ++ingress.sent;
      ingress.sent_to_new += is_new ? 1 : 0;
      if (known.step == Step::kTrial) {
        outcome.has_kept_bound &=
            ingress.sent_to_new <= kMaxShare * ingress.sent;
      }
      if (!is_new) {
        ++old_counts.total;
        if (std::bernoulli_distribution(0.01)(random)) ++old_counts.failed;
        continue;
      }
      const std::size_t used = known.step == Step::kTrial
                                   ? std::min(ingress.exposure.ServerLimit(
                                                  known, scenario.new_servers),
                                              scenario.new_servers)
                                   : scenario.new_servers;
      const std::size_t server = random() % used;
      ++in_step[server];
      ++counts[server].total;
      const double seconds =
          static_cast<double>(time - scenario.ready_ms) / 1000 + 0.5;
      if (std::bernoulli_distribution(scenario.new_bad(seconds, load[server]))(
              random)) {
        ++counts[server].failed;
        ++outcome.harmed;
        if (outcome.harmed == 50) outcome.fiftieth_bad_ms = time;
      }
      outcome.last_new_ms = time;
    }
    for (std::size_t i = 0; i < kServers; ++i) {
      constexpr double kUsual = kRate / kServers;
      constexpr double kWeight = 0.1;
      load[i] += kWeight * (in_step[i] / kSeconds / kUsual - load[i]);
    }
    if (time % kReportMs != 0) continue;
    known = state;
    if (known.step == Step::kReplacing && replaced_ms == 0) replaced_ms = time;
    outcome.has_replaced |= known.step == Step::kReplacing;
    if (time == scenario.restart_ms && time != 0) {
      decider.emplace(scenario.options, state, kStartMs);
    }
    for (std::size_t i = 0; i < kServers; ++i) {
      const std::string name = "new-" + std::to_string(i);
      NodeReport report{.service = "acervo",
                        .order = {.version = 5},
                        .step = known.step,
                        .has_backend = i < scenario.new_servers,
                        .backend_version = "v2",
                        .accepts = is_ready,
                        .slots = 4};
      report.outcomes = {{.route = "read",
                          .server = name,
                          .is_new = true,
                          .counts = std::exchange(counts[i], {})}};
      decider->OnReport(name, report, now);
      const bool is_stopped = known.step >= Step::kReplacing;
      report.backend_version = "v1";
      report.has_backend = true;
      report.accepts = !is_stopped;
      report.is_empty = is_stopped && time >= replaced_ms + kLongestRunMs;
      report.outcomes = {{.route = "read",
                          .server = "old",
                          .counts = std::exchange(old_counts, {})}};
      decider->OnReport("old-" + std::to_string(i), report, now);
    }
    if (const auto decision = decider->Tick(Status::kRunning, now)) {
      state = decision->state;
      if (state.step == Step::kTrial) {
        outcome.shares.push_back(state.share_permille);
      }
    }
    if (decider->wanted_status() != Status::kRunning && outcome.ended_ms == 0) {
      outcome.ended_ms = time;
    }
  }
  outcome.step = decider->wanted_status() == Status::kCompleted
                     ? Step::kCompleted
                     : state.step;
  return outcome;
}

// Guards against steps that take the time which the old version needs to
// finish: the status was written after the deadline.
TEST_CASE("a good version is completed in time through the steps") {
  for (const std::uint64_t duration : {12'000U, 16'000U}) {
    for (const std::uint64_t ready : {600U, 1500U, 2400U}) {
      int completed = 0;
      std::uint64_t latest = 0;
      constexpr int kSeeds = 100;
      for (int seed = 0; seed < kSeeds; ++seed) {
        const Outcome outcome =
            Run({.duration_ms = duration, .ready_ms = ready},
                static_cast<unsigned>(seed));
        REQUIRE(outcome.has_kept_bound);
        if (outcome.step != Step::kCompleted) continue;
        ++completed;
        latest = std::max(latest, outcome.ended_ms);
        if (duration == 16'000) {
          REQUIRE(outcome.shares == std::vector<std::uint32_t>{80, 250, 500});
        }
      }
      CAPTURE(duration, ready, completed, latest);
      REQUIRE(completed == kSeeds);
      // The write takes up to 300 ms.
      REQUIRE(latest + 300 + 1500 <= duration);
    }
  }
}

// Of versions that turn bad within a second from `late_seconds` after their
// start on, or under load.
struct Harm {
  int with_steps = 0;
  int with_one_step = 0;
  int replaced = 0;
};

constexpr int kHarmSeeds = 50;

Harm MeasureHarm(std::uint64_t duration_ms, std::optional<double> late) {
  Harm harm;
  for (unsigned seed = 0; seed < kHarmSeeds; ++seed) {
    Scenario scenario{.duration_ms = duration_ms};
    // Spread, since the decider's windows have a fixed phase here.
    const double turn = late.value_or(0) + (seed % 10) / 10.0;
    scenario.new_bad = [&](double seconds, double load) {
      return (late ? seconds >= turn : load > 0.6) ? 0.5 : 0.01;
    };
    const Outcome outcome = Run(scenario, seed);
    REQUIRE(outcome.step == Step::kRollingBack);
    REQUIRE(outcome.has_kept_bound);
    if (outcome.fiftieth_bad_ms) {
      REQUIRE(outcome.last_new_ms <= *outcome.fiftieth_bad_ms + 5000);
    }
    harm.with_steps += outcome.harmed;
    harm.replaced += outcome.has_replaced ? 1 : 0;
    scenario.options.step_permille = {0, 0};
    harm.with_one_step += Run(scenario, seed).harmed;
  }
  return harm;
}

// Guards against a version that turns bad after the trial, or only under the
// load of all traffic, and then fails half of all requests.
TEST_CASE("steps reduce the harm of late versions and those bad under load") {
  for (const std::uint64_t duration : {12'000U, 16'000U}) {
    Harm total;
    for (const std::optional<double> late :
         {std::optional<double>(), std::optional(4.0), std::optional(5.0),
          std::optional(6.0)}) {
      const Harm harm = MeasureHarm(duration, late);
      CAPTURE(duration, late.value_or(0), harm.with_steps, harm.with_one_step,
              harm.replaced);
      if (duration == 16'000) {
        REQUIRE(harm.with_steps < harm.with_one_step);
        REQUIRE(harm.replaced <= kHarmSeeds / 10);
      }
      total.with_steps += harm.with_steps;
      total.with_one_step += harm.with_one_step;
    }
    // An order of 12 s has time for one step of 1 s, so a version that turns
    // bad after it is found no earlier.
    CAPTURE(duration, total.with_steps, total.with_one_step);
    REQUIRE(total.with_steps < total.with_one_step);
    if (duration == 16'000) REQUIRE(2 * total.with_steps < total.with_one_step);
  }
}

// Guards against an order that is not completed, or not rolled back, when the
// coordinator is lost in a step.
TEST_CASE("a decider that begins in a step continues it") {
  constexpr unsigned kSeeds = 50;
  for (const std::uint64_t restart : {6400U, 7800U, 8800U}) {
    for (unsigned seed = 0; seed < kSeeds; ++seed) {
      const Outcome good = Run({.restart_ms = restart}, seed);
      CAPTURE(restart, seed, good.ended_ms);
      REQUIRE(good.has_kept_bound);
      REQUIRE(good.step == Step::kCompleted);
      REQUIRE(good.ended_ms + 300 + 1500 <= 16'000);
      const Outcome bad =
          Run({.new_bad = [](double seconds,
                             double) { return seconds < 5 ? 0.01 : 0.5; },
               .restart_ms = restart},
              seed);
      REQUIRE(bad.step == Step::kRollingBack);
      REQUIRE(bad.has_kept_bound);
    }
  }
}

// Guards against a step whose share the new backend servers cannot carry: with
// 3 of them, 0.25 of the slots are there and 0.5 are not.
TEST_CASE("a step without enough new slots is skipped") {
  const Outcome few = Run({.new_servers = 3}, 1);
  REQUIRE(few.shares == std::vector<std::uint32_t>{80, 250});
  REQUIRE(few.step == Step::kRollingBack);
  REQUIRE_FALSE(few.has_replaced);
  const Outcome two = Run({.new_servers = 2}, 1);
  REQUIRE(two.shares == std::vector<std::uint32_t>{80});
}

// Two deciders that take themselves for the coordinator, each with the order
// book of its node.
struct Pair {
  std::uint64_t now_ms = kStartMs + 6000;
  std::array<OrderBook, 2> books{};
  std::array<std::optional<Decider>, 2> deciders{};
  bool is_bad = false;
  bool has_rolled_back = false;
};

OrderState StateOf(const OrderBook& book) { return *book.Find("acervo"); }

void TickOne(Pair& pair, std::size_t i) {
  for (const std::string server : {"new-0", "new-1", "old-0"}) {
    const bool is_new = server != "old-0";
    pair.deciders[i]->OnReport(
        server,
        {.service = "acervo",
         .order = {.version = 5},
         .step = StateOf(pair.books[i]).step,
         .has_backend = true,
         .backend_version = is_new ? "v2" : "v1",
         .accepts = true,
         .slots = 4,
         .outcomes = {{.route = "read",
                       .server = server,
                       .is_new = is_new,
                       .counts = {.total = 60,
                                  .failed = pair.is_bad && is_new ? 30U : 0}}}},
        pair.now_ms);
  }
  pair.deciders[i]->Adopt(StateOf(pair.books[i]), pair.now_ms);
  if (const auto decision =
          pair.deciders[i]->Tick(Status::kRunning, pair.now_ms)) {
    pair.books[i].Merge(decision->state);
    pair.has_rolled_back |= decision->state.step == Step::kRollingBack;
  }
}

void Restart(Pair& pair, std::size_t i) {
  pair.deciders[i].emplace(Decider::Options{}, StateOf(pair.books[i]),
                           kStartMs);
}

auto RankOf(const OrderState& state) {
  return std::pair(state.step, state.share_permille);
}

int Explore(const Pair& pair, int depth, std::set<std::uint32_t>& shares) {
  Pair end = pair;
  end.books[0].Merge(StateOf(end.books[1]));
  end.books[1].Merge(StateOf(end.books[0]));
  int faults = StateOf(end.books[0]) == StateOf(end.books[1]) ? 0 : 1;
  // What one has rolled back, the other does not complete.
  if (pair.has_rolled_back &&
      StateOf(end.books[0]).step != Step::kRollingBack) {
    ++faults;
  }
  for (const OrderBook& book : pair.books) {
    shares.insert(StateOf(book).share_permille);
  }
  if (depth == 0) return faults;
  for (int event = 0; event < 6; ++event) {
    Pair next = pair;
    next.now_ms += 500;
    const std::size_t i = event % 2;
    if (event < 2) {
      TickOne(next, i);
      // A decider acts on the state of its node, not on an earlier share.
      if (RankOf(next.deciders[i]->state()) != RankOf(StateOf(next.books[i]))) {
        ++faults;
      }
    } else if (event < 4) {
      next.books[i].Merge(StateOf(next.books[1 - i]));
    } else if (event == 4) {
      Restart(next, 0);
    } else {
      next.is_bad = true;
    }
    for (std::size_t book = 0; book < 2; ++book) {
      if (RankOf(StateOf(next.books[book])) <
          RankOf(StateOf(pair.books[book]))) {
        ++faults;
      }
    }
    faults += Explore(next, depth - 1, shares);
  }
  return faults;
}

// Guards against a good version that is rolled back since a decider that was
// elected after the time for steps had no evidence yet.
TEST_CASE("a decider that begins in a step late gathers evidence first") {
  Pair pair{.now_ms = kStartMs + 8600};
  pair.books[0].Merge({.order = {.service = "acervo",
                                 .to = "v2",
                                 .duration = std::chrono::seconds(12),
                                 .position = {.version = 5}},
                       .step = Step::kTrial,
                       .share_permille = 250,
                       .known_at_ms = kStartMs});
  Restart(pair, 0);
  pair.deciders[0]->Tick(Status::kRunning, pair.now_ms);
  REQUIRE(pair.deciders[0]->state().step == Step::kTrial);
  for (int i = 0; i < 5; ++i) {
    pair.now_ms += 200;
    TickOne(pair, 0);
  }
  REQUIRE(StateOf(pair.books[0]).step == Step::kReplacing);
}

// Guards against two deciders that undo each other's steps: all interleavings
// of their ticks, messages, a restart and a version that turns bad, from the
// first step on.
TEST_CASE("two deciders in the steps converge") {
  Pair pair;
  OrderState state{.order = {.service = "acervo",
                             .to = "v2",
                             .duration = std::chrono::seconds(16),
                             .position = {.version = 5}},
                   .step = Step::kTrial,
                   .share_permille = 250,
                   .known_at_ms = kStartMs};
  for (std::size_t i = 0; i < 2; ++i) {
    pair.books[i].Merge(state);
    Restart(pair, i);
    TickOne(pair, i);
    pair.now_ms += 500;
    TickOne(pair, i);
  }
  std::set<std::uint32_t> shares;
  REQUIRE(Explore(pair, 7, shares) == 0);
  // All traffic (0) and both steps were reached.
  REQUIRE(shares == std::set<std::uint32_t>{0, 250, 500});
}

}  // namespace
}  // namespace oleandertide::rollout
