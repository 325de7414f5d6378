#include "mesh/pace.h"

#include <algorithm>
#include <cmath>

namespace oleandertide::mesh {
namespace {

// Windows in completions. The mean of 6 exponentially distributed run times has
// a standard deviation of 40%, that of 24 one of 20%.
constexpr double kSteadyWindow = 24;
constexpr double kRecentWindow = 6;

// Ratio of the two estimates from which the recent one is used.
constexpr double kMinChange = 2;

// Weight of the assumed slowness in completions: about one round of a backend
// server with few slots.
constexpr double kSteadyPriorWeight = 2;
constexpr double kRecentPriorWeight = 1;

// Limits the effect of one request with an unusual amount of work.
constexpr double kMaxRun = 20;

// Half-life of the difference to the assumed slowness while no request runs.
// With 1 s, a flapping backend server made 1,148 of 90,000 requests late in the
// replay, and 946 without this estimate.
constexpr Duration kHalfLife = std::chrono::seconds(2);

}  // namespace

void Pace::Evidence::Add(double run, double window) {
  const double kept = 1 - 1 / window;
  exposure = exposure * kept + run;
  completions = completions * kept + 1;
}

double Pace::Evidence::Estimate(double running, double assumed,
                                double prior_weight) const {
  return (exposure + running + assumed * prior_weight) /
         (completions + prior_weight);
}

void Pace::RecordStart(MonotonicTime now, Ticket ticket,
                       Duration expected_run) {
  if (expected_run <= Duration::zero()) return;
  runs_.emplace(ticket,
                Run{.started = now,
                    .expected_us = static_cast<double>(expected_run.count())});
}

void Pace::RecordEnd(MonotonicTime now, Ticket ticket, bool is_sample) {
  const auto found = runs_.find(ticket);
  if (found == runs_.end()) return;
  const Run run = found->second;
  runs_.erase(found);
  if (!is_sample) return;
  const double time = std::min(
      static_cast<double>((now - run.started).count()) / run.expected_us,
      kMaxRun);
  steady_.Add(time, kSteadyWindow);
  recent_.Add(time, kRecentWindow);
  const double steady = EstimateSteady(0);
  const double recent = EstimateRecent(0);
  // The speed has changed, so older completions no longer tell it.
  if (recent > steady * kMinChange || recent * kMinChange < steady) {
    steady_ = recent_;
  }
}

void Pace::Reset() {
  steady_ = {};
  recent_ = {};
  runs_.clear();
}

void Pace::Relax(Duration elapsed) {
  if (!runs_.empty()) return;
  const double kept = std::exp2(-static_cast<double>(elapsed.count()) /
                                static_cast<double>(kHalfLife.count()));
  for (Evidence* evidence : {&steady_, &recent_}) {
    const double assumed = assumed_ * evidence->completions;
    evidence->exposure = assumed + (evidence->exposure - assumed) * kept;
  }
}

double Pace::RunningExposure(MonotonicTime now) const {
  double exposure = 0;
  for (const auto& [ticket, run] : runs_) {
    exposure += std::min(
        static_cast<double>((now - run.started).count()) / run.expected_us,
        kMaxRun);
  }
  return exposure;
}

double Pace::EstimateSteady(double running) const {
  return steady_.Estimate(running, assumed_, kSteadyPriorWeight);
}

double Pace::EstimateRecent(double running) const {
  return recent_.Estimate(running, assumed_, kRecentPriorWeight);
}

double Pace::slowness(MonotonicTime now) const {
  const double running = RunningExposure(now);
  const double steady = EstimateSteady(0);
  // Requests that run add to the time but not yet to the completions, so the
  // recent estimate of a backend server with many slots is always higher. Only
  // the time beyond one expected run time for each shows a change.
  const double overdue =
      std::max(0.0, running - static_cast<double>(runs_.size()) * assumed_);
  const double recent = EstimateRecent(overdue);
  return recent > steady * kMinChange ? recent : steady;
}

}  // namespace oleandertide::mesh
