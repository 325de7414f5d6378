#include "mesh/stop_policy.h"

namespace oleandertide::mesh {
namespace {

// All margins are in units of 10 ms at the full deadline.
//
// Time between the last deadline of clients' requests and the end. Includes the
// time that the ingress gives an outcome to arrive, and the transmission.
constexpr int kClientMargin = 25;

// Time between the last answer to a client and the end.
constexpr int kAnswerMargin = 14;

// Time between the last deadline of runs at the backend server beside the node
// and the end: its last answers are still to reach the nodes that wait for
// them.
constexpr int kRunMargin = 10;

constexpr int kCloseUnits = 20;

// Of the grace, for what follows the end of the stop: the closing of
// connections, and a process that gets the processor late.
constexpr Duration kMaxEndMargin = std::chrono::milliseconds(500);
constexpr int kEndMarginPart = 12;

// Clients learn of the stop from readiness checks, however long the grace is.
constexpr Duration kMaxAnnounceTime = std::chrono::milliseconds(2500);
constexpr double kMaxAnnounceShare = 5.0 / 12;

}  // namespace

StopPolicy::Options StopPolicy::Options::ForGrace(Duration grace) {
  const Duration share(static_cast<std::int64_t>(
      kMaxAnnounceShare * static_cast<double>(grace.count())));
  return {.announce_time = std::min(kMaxAnnounceTime, share),
          .deadline = grace - std::min(kMaxEndMargin, grace / kEndMarginPart)};
}

MonotonicTime StopPolicy::last_deadline() const {
  return end_ - kClientMargin * margin_unit_;
}

MonotonicTime StopPolicy::last_answer() const {
  return end_ - kAnswerMargin * margin_unit_;
}

Duration StopPolicy::close_limit() const { return kCloseUnits * margin_unit_; }

std::optional<MonotonicTime> StopPolicy::ChooseDeadline(
    MonotonicTime arrived, MonotonicTime now, Duration limit,
    Duration target_latency) const {
  if (arrived + limit <= last_deadline()) return arrived + limit;
  if (now > announced_at_) return std::nullopt;
  if (last_deadline() - now < target_latency) return std::nullopt;
  return last_deadline();
}

bool StopPolicy::MayRun(MonotonicTime deadline) const {
  return deadline <= end_ - kRunMargin * margin_unit_;
}

}  // namespace oleandertide::mesh
