#include "mesh/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace oleandertide::mesh {
namespace {

// Minimum fraction of the expected run time that must remain before the
// deadline for a request to start: hardly any run is shorter.
constexpr double kMinRemainingRunTimeShare = 0.25;

// Minimum delay past the latest useful start after which a request leaves the
// queue. For longer runs the delay is one run time. A request delayed that long
// waits for a backend server that frees no slots. The minimum is about two
// checks of the queue.
constexpr Duration kMinLateness = std::chrono::milliseconds(50);

// Half-life of the slowness and failure statistics while no request runs.
constexpr Duration kStatisticsHalfLife = std::chrono::seconds(2);

// Limits the effect of one request with an unusual amount of work.
constexpr double kMaxSlownessSample = 20;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

Duration AdmissionQueue::ExpectedLocalRunTime(Duration expected_run) const {
  if (expected_run > Duration::zero()) {
    return Scale(expected_run, slowness_.value());
  }
  return Duration(static_cast<std::int64_t>(run_time_us_.value()));
}

Duration AdmissionQueue::EstimateWait(const Key& key, MonotonicTime now) const {
  if (slots_ == 0) return Duration::max();
  // With all slots busy, the next one becomes free after about the mean run
  // time divided by the number of slots.
  double work = run_time_us_.value();
  for (const auto& [other, waiting] : waiting_) {
    if (key < other) break;
    if (std::get<MonotonicTime>(other) < now) continue;
    work +=
        static_cast<double>(ExpectedLocalRunTime(waiting.expected_run).count());
  }
  return Duration(static_cast<std::int64_t>(work / slots_));
}

AdmissionQueue::Verdict AdmissionQueue::Offer(MonotonicTime now, Ticket ticket,
                                              const Request& request) {
  if (slots_ == 0) return Verdict::kReject;
  if (running_ < slots_ && waiting_.empty()) {
    ++running_;
    return Verdict::kStart;
  }
  const Key key{request.priority, now + request.wait_allowance, arrivals_++};
  if (EstimateWait(key, now) > request.wait_allowance) return Verdict::kReject;
  waiting_.emplace(
      key, Waiting{ticket, request.expected_run, now + request.remaining});
  keys_.emplace(ticket, key);
  return Verdict::kWait;
}

std::optional<AdmissionQueue::Ticket> AdmissionQueue::StartNext(
    MonotonicTime now, Dropped& dropped) {
  while (running_ < slots_ && !waiting_.empty()) {
    const auto first = FindNext(now);
    const Waiting waiting = first->second;
    keys_.erase(waiting.ticket);
    waiting_.erase(first);
    if (CannotFinishInTime(waiting, now)) {
      dropped.expired.push_back(waiting.ticket);
      continue;
    }
    ++running_;
    return waiting.ticket;
  }
  return std::nullopt;
}

AdmissionQueue::WaitingMap::iterator AdmissionQueue::FindNext(
    MonotonicTime now) {
  const auto first = waiting_.begin();
  const int rank = std::get<int>(first->first);
  const auto in_time = waiting_.lower_bound(Key{rank, now, 0});
  if (in_time == waiting_.end() || std::get<int>(in_time->first) != rank) {
    return first;
  }
  // Expected time until the next slot becomes free.
  const Duration interval(
      static_cast<std::int64_t>(run_time_us_.value() / slots_));
  const bool can_wait =
      std::get<MonotonicTime>(in_time->first) - now > interval;
  return can_wait ? first : in_time;
}

bool AdmissionQueue::CannotFinishInTime(const Waiting& waiting,
                                        MonotonicTime now) const {
  const Duration needed = Scale(ExpectedLocalRunTime(waiting.expected_run),
                                kMinRemainingRunTimeShare);
  return now + needed >= waiting.deadline;
}

AdmissionQueue::Dropped AdmissionQueue::DropLateRequests(MonotonicTime now) {
  Dropped dropped;
  for (const auto& [key, waiting] : waiting_) {
    if (CannotFinishInTime(waiting, now)) {
      dropped.expired.push_back(waiting.ticket);
    } else if (now - std::get<MonotonicTime>(key) >
               std::max(ExpectedLocalRunTime(waiting.expected_run),
                        kMinLateness)) {
      dropped.passed_over.push_back(waiting.ticket);
    }
  }
  for (const Ticket ticket : dropped.expired) Remove(ticket);
  for (const Ticket ticket : dropped.passed_over) Remove(ticket);
  return dropped;
}

bool AdmissionQueue::Remove(Ticket ticket) {
  const auto found = keys_.find(ticket);
  if (found == keys_.end()) return false;
  waiting_.erase(found->second);
  keys_.erase(found);
  return true;
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::RemoveAll() {
  std::vector<Ticket> tickets;
  for (const auto& [key, waiting] : waiting_) tickets.push_back(waiting.ticket);
  waiting_.clear();
  keys_.clear();
  return tickets;
}

void AdmissionQueue::Finish(Duration run_time, Duration expected_run,
                            bool is_sample) {
  --running_;
  if (!is_sample) return;
  run_time_us_.Add(static_cast<double>(run_time.count()));
  if (expected_run <= Duration::zero()) return;
  const double ratio = static_cast<double>(run_time.count()) /
                       static_cast<double>(expected_run.count());
  slowness_.Add(std::min(ratio, kMaxSlownessSample));
}

void AdmissionQueue::ResetStatistics() {
  run_time_us_ = ExponentialAverage(kRunTimeWindowSamples);
  slowness_ = ExponentialAverage(kSlownessWindowSamples, 1);
  failures_ = ExponentialAverage(kFailureWindowSamples);
}

void AdmissionQueue::DecayStatistics(Duration elapsed) {
  if (running_ > 0) return;
  const double share =
      1 - std::exp2(-static_cast<double>(elapsed.count()) /
                    static_cast<double>(kStatisticsHalfLife.count()));
  slowness_.MoveTowards(1, share);
  failures_.MoveTowards(0, share);
}

BackendLoad AdmissionQueue::load() const {
  PriorityClassCounts waiting_by_rank{};
  for (const auto& [key, request] : waiting_) {
    ++waiting_by_rank[ToPriorityClass(std::get<int>(key))];
  }
  return {.slots = slots_,
          .running = running_,
          .waiting = waiting_by_rank,
          .mean_run_time =
              Duration(static_cast<std::int64_t>(run_time_us_.value())),
          .slowness = slowness_.value(),
          .failure_share = failures_.value()};
}

}  // namespace oleandertide::mesh
