#include "rollout/canary_analysis.h"

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace oleandertide::rollout {
namespace {

constexpr double kWindowSeconds = 0.25;

// As in Decider::Options, for an order of 12 s whose backend servers are ready
// after 2.4 s.
constexpr double kMinSeconds = 4.5;
constexpr double kMaxSeconds = 6;
constexpr double kWarmingSeconds = 2.5;

// Probability that an outcome is bad, by time since the start of the trial,
// route and new server.
struct Day {
  std::function<double(double seconds, int route)> old_failed =
      [](double, int) { return 0.01; };
  std::function<double(double seconds, int route, int server)> new_failed =
      [](double, int, int) { return 0.01; };
  std::function<double(double seconds, int route, int server)> new_slow =
      [](double, int, int) { return 0.02; };
};

struct Result {
  Verdict verdict = Verdict::kUndecided;
  double seconds = 0;
  int bad = 0;
  std::optional<double> fiftieth_bad;
};

// Runs a trial of 6 s: 270 requests a second of two routes (the least of a
// service of the print-on-demand deployment), of which 8% go to
// two new servers. Ends early with a verdict.
Result RunTrial(const Day& day, int seed, double duration = kMaxSeconds) {
  constexpr double kRate = 270;
  std::mt19937 random(static_cast<unsigned>(seed));
  CanaryAnalysis analysis;
  Result result;
  for (double now = 0; now < duration; now += kWindowSeconds) {
    std::poisson_distribution<int> old_count(kRate * 0.46 * kWindowSeconds);
    std::poisson_distribution<int> new_count(kRate * 0.02 * kWindowSeconds);
    const auto draw = [&](int count, double failed, double slow) {
      OutcomeCounts counts;
      counts.total = static_cast<std::uint32_t>(count);
      for (int i = 0; i < count; ++i) {
        if (std::bernoulli_distribution(failed)(random)) {
          ++counts.failed;
        } else if (std::bernoulli_distribution(slow)(random)) {
          ++counts.slow;
        }
      }
      return counts;
    };
    for (int route = 0; route < 2; ++route) {
      const std::string name = route == 0 ? "read" : "check";
      analysis.Add(name, "old", false,
                   draw(old_count(random), day.old_failed(now, route), 0.02));
      for (int server = 0; server < 2; ++server) {
        const OutcomeCounts counts =
            draw(new_count(random), day.new_failed(now, route, server),
                 day.new_slow(now, route, server));
        result.bad += static_cast<int>(counts.failed + counts.slow);
        analysis.Add(name, server == 0 ? "a" : "b", true, counts);
      }
    }
    if (result.bad >= 50 && !result.fiftieth_bad) result.fiftieth_bad = now;
    analysis.EndWindow(now < kWarmingSeconds);
    result.seconds = now;
    result.verdict = analysis.verdict();
    if (result.verdict == Verdict::kBad) break;
    // The decider takes a version for good after this time, and rolls back one
    // without a verdict at the end.
    if (result.verdict == Verdict::kGood && now >= kMinSeconds) break;
  }
  return result;
}

constexpr int kSeeds = 1000;

int CountVerdicts(const Day& day, Verdict verdict,
                  double duration = kMaxSeconds) {
  int count = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    if (RunTrial(day, seed, duration).verdict == verdict) ++count;
  }
  return count;
}

// Guards against bad versions that are taken for good, by kind. A trial without
// verdict is rolled back in the end as well.
TEST_CASE("a bad version is never taken for good") {
  Day errors;
  errors.new_failed = [](double, int, int) { return 0.5; };
  Day slow;
  slow.new_slow = [](double, int, int) { return 0.5; };
  Day one_route;
  one_route.new_failed = [](double, int route, int) {
    return route == 1 ? 0.5 : 0.01;
  };
  Day late;
  late.new_failed = [](double now, int, int) { return now < 3 ? 0.01 : 0.5; };
  Day under_load;
  under_load.new_slow = [](double now, int, int) {
    return static_cast<int>(now * 2) % 2 == 0 ? 0.02 : 0.5;
  };
  for (const Day& day : {errors, slow, one_route, under_load, late}) {
    REQUIRE(CountVerdicts(day, Verdict::kGood) <= kSeeds / 100);
  }
  // Those that are bad at once are found soon. Slowness counts only after the
  // warm-up, so a slow version gets more bad responses.
  const auto count_bad = [](const Day& day) {
    constexpr int kTrials = 100;
    int bad = 0;
    for (int seed = 0; seed < kTrials; ++seed) {
      const Result result = RunTrial(day, seed, 8);
      REQUIRE(result.verdict == Verdict::kBad);
      // The users allow 5 s after the 50th bad response.
      if (result.fiftieth_bad) {
        REQUIRE(result.seconds <= *result.fiftieth_bad + 3);
      }
      bad += result.bad;
    }
    return bad / kTrials;
  };
  REQUIRE(count_bad(errors) < 35);
  REQUIRE(count_bad(slow) < 60);
}

// Guards against good versions that are rolled back on a bad day. The stated
// rate of false alarms is 0.001 for each trial of 1,000 outcomes.
TEST_CASE("a good version on a bad day is not taken for bad") {
  Day quiet;
  Day failing_old;
  failing_old.old_failed = [](double, int) { return 0.3; };
  // The whole service fails at times, both versions alike.
  Day burst;
  burst.old_failed = [](double now, int) {
    return now > 1 && now < 3 ? 0.4 : 0.01;
  };
  burst.new_failed = [](double now, int, int) {
    return now > 1 && now < 3 ? 0.4 : 0.01;
  };
  // New backend servers run at half their speed at first.
  Day warming;
  warming.new_slow = [](double now, int, int) {
    return now < 2.5 ? 0.3 : 0.02;
  };
  // One of the new backend servers is at fault itself.
  Day one_server;
  one_server.new_failed = [](double, int, int server) {
    return server == 0 ? 0.55 : 0.01;
  };
  for (const Day& day : {quiet, failing_old, burst, warming, one_server}) {
    REQUIRE(CountVerdicts(day, Verdict::kBad) <= 3);
  }
  REQUIRE(CountVerdicts(quiet, Verdict::kGood) >= kSeeds * 95 / 100);
}

// Guards against a good version that is rolled back while it replaces the old
// one, since some of its many backend servers are at fault themselves.
TEST_CASE("a minority of faulty backend servers is no fault of the version") {
  for (const int faulty : {4, 9}) {
    CanaryAnalysis analysis;
    std::mt19937 random(5);
    for (int window = 0; window < 20; ++window) {
      analysis.Add("read", "old", false, {.total = window < 4 ? 100U : 0U});
      for (int server = 0; server < 10; ++server) {
        OutcomeCounts counts{.total = 10};
        std::binomial_distribution<std::uint32_t> failed(
            10, server < faulty ? 0.5 : 0.01);
        counts.failed = failed(random);
        analysis.Add("read", "new-" + std::to_string(server), true, counts);
      }
      analysis.EndWindow();
    }
    REQUIRE((analysis.verdict() == Verdict::kBad) == (faulty == 9));
  }
}

}  // namespace
}  // namespace oleandertide::rollout
