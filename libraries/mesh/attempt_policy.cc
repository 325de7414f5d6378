#include "mesh/attempt_policy.h"

#include <algorithm>
#include <variant>

namespace oleandertide::mesh {
namespace {

// Nodes to which a request is sent before it is refused: more would hold the
// client longer than it takes to come back.
constexpr int kMaxHops = 4;

// Nodes that are to run a request at once or refuse it.
constexpr int kHopsWithoutWait = 2;

// Run times of the wait that are kept for the run itself: nine in ten runs of
// the sites end within some 2.2 times the mean.
constexpr double kReservedRunTimes = 2.2;
// The same for urgent routes. They go first in the queue, so a short limit
// would only refuse them in favour of less urgent ones.
constexpr double kReservedRunTimesUrgent = 1;
// Priority that the sites give to the calls that backend servers make while
// they run a request. Those of requests that must not be repeated is 0.
constexpr int kBackendServerCallPriority = 1;
// Least time that a request may wait, as a share of the target latency.
constexpr double kMinWaitShare = 0.1;

// Reports are some tens of milliseconds old: so much more wait than expected is
// still better than another node.
constexpr Duration kWaitTolerance = std::chrono::milliseconds(15);

// Share of the usual run time that must be left for a further run.
constexpr double kMinRetryRunTimeShare = 0.6;

// The shortest time after which a client is asked to come back.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(30);

constexpr int kStatusFirstServerError = 500;

bool HasTimeForRun(const AttemptHistory& history) {
  return static_cast<double>(history.remaining.count()) >
         static_cast<double>(history.expected_run.count()) *
             kMinRetryRunTimeShare;
}

bool MayTryAnotherBackendServer(const AttemptHistory& history) {
  return history.reached < history.maximum_attempts &&
         history.hops < history.maximum_attempts + kMaxHops &&
         HasTimeForRun(history);
}

struct NextStepVisitor {
  const AttemptHistory& history;

  NextStep operator()(const Completed& completed) const {
    if (completed.status < kStatusFirstServerError) return NextStep::kDeliver;
    if (!is_repeatable(history.kind) || !MayTryAnotherBackendServer(history)) {
      return NextStep::kDeliver;
    }
    return NextStep::kTryAnotherWithinBudget;
  }

  NextStep operator()(const NotRun& not_run) const {
    if (not_run.reason == Reason::kDeadlinePassed ||
        not_run.reason == Reason::kQuarantined) {
      return NextStep::kGiveUp;
    }
    if (history.reached > 0) {
      return MayTryAnotherBackendServer(history)
                 ? NextStep::kTryAnotherWithinBudget
                 : NextStep::kGiveUp;
    }
    return history.hops < kMaxHops && HasTimeForRun(history)
               ? NextStep::kTryAnother
               : NextStep::kGiveUp;
  }

  NextStep operator()(const Unknown& /*unknown*/) const {
    if (!is_repeatable(history.kind) || !MayTryAnotherBackendServer(history)) {
      return NextStep::kGiveUp;
    }
    return NextStep::kTryAnotherWithinBudget;
  }
};

}  // namespace

NextStep DecideNextStep(const AttemptHistory& history, const Outcome& outcome) {
  return std::visit(NextStepVisitor{history}, outcome);
}

Duration ChooseMaxWait(const WaitingRequest& request) {
  const auto runs = [&request](double count) {
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(request.expected_run.count()) * count));
  };
  const auto min_wait = Duration(static_cast<std::int64_t>(
      static_cast<double>(request.target_latency.count()) * kMinWaitShare));
  const double reserved_run_times =
      request.priority <= kBackendServerCallPriority ? kReservedRunTimesUrgent
                                                     : kReservedRunTimes;
  const Duration in_time = std::max(
      request.target_latency - request.elapsed - runs(reserved_run_times),
      min_wait);
  if (request.priority != kBackendServerCallPriority) return in_time;
  return std::max(in_time, request.remaining - runs(kReservedRunTimes));
}

Duration ChooseWaitAllowance(int hops, Duration expected_wait,
                             Duration wait_allowance) {
  if (hops >= kHopsWithoutWait) return wait_allowance;
  return std::min(wait_allowance, expected_wait + kWaitTolerance);
}

Duration ChooseRetryAfter(Duration until_room, Duration expected_run,
                          double unit) {
  const Duration base = std::max(until_room, kMinRetryAfter);
  const double spread = static_cast<double>(expected_run.count()) * unit;
  return base + Duration(static_cast<std::int64_t>(spread));
}

}  // namespace oleandertide::mesh
