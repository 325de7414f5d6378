// Judges a version on trial by its outcomes, against the old version's.

#ifndef OLEANDERTIDE_ROLLOUT_CANARY_ANALYSIS_H_
#define OLEANDERTIDE_ROLLOUT_CANARY_ANALYSIS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oleandertide::rollout {

// Outcomes of requests of one route at one backend server.
struct OutcomeCounts {
  std::uint32_t total = 0;
  // Answers that are failures of the server, and unknown outcomes.
  std::uint32_t failed = 0;
  // Run times of more than kSlowRatio times the old version's mean.
  std::uint32_t slow = 0;
};

enum class Verdict : std::uint8_t { kUndecided, kBad, kGood };

// A sequential test of the share of bad outcomes, by route and kind of badness
// (failed, slow): cumulative sums of the log likelihood ratio of "the new
// version has kExcess more than the old one in the same time" to "it has the
// same share". The sum does not fall below zero, so a version that turns bad
// late is found as quickly as one that is bad at once.
//
// A fault of a single backend server is no fault of its version: sums are kept
// for each server, and the greatest one does not count. A version is bad if the
// others together reach kBadThreshold, and most of the servers show it.
// With the old share as the null hypothesis, a sum reaches the threshold in one
// of N outcomes with a probability of at most N * exp(-kBadThreshold), which is
// 0.001 for 1,000 outcomes of a trial.
//
// A version is good if, on each route with a notable part of the old version's
// traffic, the evidence against "bad" of at least two servers together exceeds
// kGoodThreshold. The evidence falls with each bad outcome, so a version that
// turned bad a moment ago is not good.
//
// Load pattern: unequal and failing backend servers, bursts and partitions on a
// bad day; versions that are bad at once, late, under load or on one route.
//
// Not thread-safe.
class CanaryAnalysis {
 public:
  // Observed: half of a bad version's answers are failures or slow. A smaller
  // excess is assumed, since slow answers of fast servers look sound.
  static constexpr double kExcess = 0.3;
  static constexpr double kBadThreshold = 13.8;
  static constexpr double kGoodThreshold = 9.2;
  // Bad versions are observed to be 8 times slower; the speeds of sound servers
  // differ by a factor of 3.2.
  static constexpr double kSlowRatio = 5;
  static constexpr std::uint64_t kMinOutcomes = 12;
  // A route with less of the old version's traffic need not be proved good: a
  // trial has too few requests of it, and it can do little harm.
  static constexpr double kMinRouteShare = 0.02;

  // Adds outcomes of the current window.
  void Add(std::string_view route, std::string_view server, bool is_new,
           const OutcomeCounts& counts);

  // Ends the window, in which outcomes of both versions are compared: some
  // hundred milliseconds. While the new backend servers warm up, slowness is no
  // evidence for a bad version.
  void EndWindow(bool is_warming = false);

  // Returns what the outcomes show. If it is the last moment for a decision, a
  // route with less than kMinOutcomes outcomes of the new version is left out.
  Verdict verdict(bool is_last = false) const;

  // The route and the sum on which kBad rests, for the log.
  struct Evidence {
    std::string route{};
    bool is_slowness = false;
    double sum = 0;
    // Bad outcomes of the new version and all, on this route.
    std::uint64_t bad = 0;
    std::uint64_t total = 0;
    // Share of bad outcomes of the old version in the last window.
    double old_share = 0;
  };
  Evidence evidence() const;

 private:
  enum Kind : std::uint8_t { kFailed, kSlow, kKindCount };

  struct Server {
    OutcomeCounts window;
    std::uint64_t total = 0;
    // Evidence for a bad version, at least 0.
    std::array<double, kKindCount> bad_sum{};
    // Evidence against it since it was last 0.
    std::array<double, kKindCount> good_sum{};
  };
  struct Route {
    OutcomeCounts old_window;
    // Of the old version, older windows with less weight.
    double old_total = 0;
    std::array<double, kKindCount> old_bad{};
    std::array<std::uint64_t, kKindCount> new_bad{};
    std::uint64_t new_total = 0;
    std::uint64_t old_count = 0;
    std::map<std::string, Server, std::less<>> servers;
  };

  static double OldShare(const Route& route, Kind kind);
  // Whether most servers with some outcomes show that the version is bad.
  static bool IsShownByMost(const Route& route, Kind kind);
  // Of the evidence for a bad version.
  static double SumWithoutGreatest(const Route& route, Kind kind);
  // Of the evidence against it.
  static double TotalGoodSum(const Route& route, Kind kind);

  std::map<std::string, Route, std::less<>> routes_;
  // Outcomes of the old version on all routes.
  std::uint64_t old_count_ = 0;
};

}  // namespace oleandertide::rollout

#endif  // OLEANDERTIDE_ROLLOUT_CANARY_ANALYSIS_H_
