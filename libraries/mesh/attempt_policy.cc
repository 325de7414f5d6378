#include "mesh/attempt_policy.h"

#include <algorithm>
#include <variant>

namespace oleandertide::mesh {
namespace {

// Maximum number of nodes that a request is sent to before it is refused,
// without those that are stopping. More would delay the client longer than a
// retry of its own.
constexpr int kMaxHops = 4;

// Number of first nodes that must run a request at once or refuse it.
constexpr int kHopsWithoutWait = 2;

// Part of the target latency reserved for the run itself, in mean run times:
// nine in ten runs at the sites end within about 2.2 times the mean.
constexpr double kReservedRunTimes = 2.2;
// The same for urgent routes. They go first in the queue; a shorter wait would
// only refuse them in favour of less urgent ones.
constexpr double kReservedRunTimesUrgent = 1;
// Least urgent priority of an urgent route. Requests that must not be repeated
// have priority 0.
constexpr int kMaxUrgentPriority = 1;
// Minimum time that a request may wait, as a fraction of the target latency.
constexpr double kMinWaitShare = 0.1;

// Load reports are some tens of milliseconds old: up to this much more wait
// than expected is still better than another node.
constexpr Duration kWaitTolerance = std::chrono::milliseconds(15);

// Fraction of the mean run time that must remain for another run.
constexpr double kMinRetryRunTimeShare = 0.6;

// Minimum time after which a refused client may retry.
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
  const double reserved_run_times = request.priority <= kMaxUrgentPriority
                                        ? kReservedRunTimesUrgent
                                        : kReservedRunTimes;
  const Duration in_time = std::max(
      request.target_latency - request.elapsed - runs(reserved_run_times),
      min_wait);
  if (!request.is_backend_server_call) return in_time;
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
