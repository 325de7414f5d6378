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

RunTimeEstimate AdmissionQueue::run_times() const {
  return {.mean = Duration(static_cast<std::int64_t>(run_time_us_.value())),
          .slowness = slowness_.value()};
}

int AdmissionQueue::AvailableSlots(bool is_backend_server_call) const {
  if (is_backend_server_call) return slots_;
  return slots_ - std::max(reserve_.Count(slots_) - running_calls_, 0);
}

bool AdmissionQueue::CanStartAtOnce(const Request& request) const {
  if (running_ >= AvailableSlots(request.is_backend_server_call)) return false;
  if (positions_.empty()) return true;
  // Requests of clients may wait although reserved slots are free.
  return request.is_backend_server_call && reserve_.Count(slots_) > 0 &&
         waiting_calls_ == 0;
}

void AdmissionQueue::RecordStart(bool is_backend_server_call) {
  ++running_;
  if (is_backend_server_call) ++running_calls_;
}

void AdmissionQueue::RecordCalls(MonotonicTime now) {
  reserve_.Record(now, running_calls_ + waiting_calls_);
}

Duration AdmissionQueue::EstimateWait(const Request& request,
                                      const FairQueue::Position& position,
                                      MonotonicTime now) const {
  // With all slots busy, the next one becomes free after about the mean run
  // time divided by the number of slots.
  double work = run_time_us_.value();
  for (const auto& [priority, rank] : ranks_) {
    if (priority > request.priority) break;
    work += priority < request.priority
                ? rank.TotalWork(now, run_times())
                : rank.WorkBefore(position, request.weight, now, run_times());
  }
  const int reserved =
      request.is_backend_server_call ? 0 : reserve_.Count(slots_);
  return Duration(static_cast<std::int64_t>(work / (slots_ - reserved)));
}

AdmissionQueue::Verdict AdmissionQueue::Offer(MonotonicTime now, Ticket ticket,
                                              const Request& request) {
  if (slots_ == 0) return Verdict::kReject;
  if (CanStartAtOnce(request)) {
    RecordStart(request.is_backend_server_call);
    RecordCalls(now);
    ranks_[request.priority].Charge(request.organisation, request.weight,
                                    run_times().For(request.expected_run));
    return Verdict::kStart;
  }
  const FairQueue::Position position{
      request.organisation, {now + request.wait_allowance, arrivals_++}};
  if (EstimateWait(request, position, now) > request.wait_allowance) {
    return Verdict::kReject;
  }
  ranks_[request.priority].Add(
      position, request.weight,
      {ticket, request.expected_run, now + request.remaining});
  positions_.emplace(
      ticket,
      Position{request.priority, request.is_backend_server_call, position});
  if (request.is_backend_server_call) ++waiting_calls_;
  RecordCalls(now);
  return Verdict::kWait;
}

std::optional<AdmissionQueue::Ticket> AdmissionQueue::StartNext(
    MonotonicTime now, Dropped& dropped) {
  RecordCalls(now);
  // Expected time until the next slot becomes free.
  const Duration interval(
      static_cast<std::int64_t>(run_time_us_.value() / std::max(slots_, 1)));
  while (running_ < slots_ && !positions_.empty()) {
    const auto rank = std::ranges::find_if(
        ranks_, [](const auto& entry) { return entry.second.size() > 0; });
    const FairQueue::Position next = rank->second.FindNext(now, interval);
    const FairQueue::Waiting waiting = rank->second.Get(next);
    const bool is_call = positions_.at(waiting.ticket).is_backend_server_call;
    if (CannotFinishInTime(waiting, now, run_times())) {
      Remove(waiting.ticket);
      dropped.expired.push_back(waiting.ticket);
      continue;
    }
    if (running_ >= AvailableSlots(is_call)) break;
    rank->second.Charge(next.organisation,
                        rank->second.weight(next.organisation),
                        run_times().For(waiting.expected_run));
    Remove(waiting.ticket);
    RecordStart(is_call);
    RecordCalls(now);
    return waiting.ticket;
  }
  return std::nullopt;
}

bool AdmissionQueue::CannotFinishInTime(const FairQueue::Waiting& waiting,
                                        MonotonicTime now,
                                        const RunTimeEstimate& run_times) {
  const Duration needed =
      Scale(run_times.For(waiting.expected_run), kMinRemainingRunTimeShare);
  return now + needed >= waiting.deadline;
}

AdmissionQueue::Dropped AdmissionQueue::DropLateRequests(MonotonicTime now) {
  Dropped dropped;
  for (const auto& [priority, rank] : ranks_) {
    rank.ForEach([&](const FairQueue::Position& position,
                     const FairQueue::Waiting& waiting) {
      if (CannotFinishInTime(waiting, now, run_times())) {
        dropped.expired.push_back(waiting.ticket);
      } else if (now - position.key.first >
                 std::max(run_times().For(waiting.expected_run),
                          kMinLateness)) {
        dropped.passed_over.push_back(waiting.ticket);
      }
    });
  }
  for (const Ticket ticket : dropped.expired) Remove(ticket);
  for (const Ticket ticket : dropped.passed_over) Remove(ticket);
  RecordCalls(now);
  return dropped;
}

bool AdmissionQueue::Remove(Ticket ticket) {
  const auto found = positions_.find(ticket);
  if (found == positions_.end()) return false;
  const Position& position = found->second;
  const auto rank = ranks_.find(position.priority);
  rank->second.Remove(position.in_rank);
  if (rank->second.flow_count() == 0) ranks_.erase(rank);
  if (position.is_backend_server_call) --waiting_calls_;
  positions_.erase(found);
  return true;
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::RemoveAll() {
  std::vector<Ticket> tickets;
  for (const auto& [priority, rank] : ranks_) {
    rank.ForEach([&tickets](const FairQueue::Position& /*position*/,
                            const FairQueue::Waiting& waiting) {
      tickets.push_back(waiting.ticket);
    });
  }
  ranks_.clear();
  positions_.clear();
  waiting_calls_ = 0;
  return tickets;
}

void AdmissionQueue::Finish(Duration run_time, Duration expected_run,
                            bool is_sample, bool is_backend_server_call) {
  --running_;
  if (is_backend_server_call) --running_calls_;
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
  for (const auto& [priority, rank] : ranks_) {
    waiting_by_rank[ToPriorityClass(priority)] += rank.size();
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
