// The admission queue before it shared slots among organisations.

#ifndef OLEANDERTIDE_TESTS_MESH_UNSHARED_QUEUE_H_
#define OLEANDERTIDE_TESTS_MESH_UNSHARED_QUEUE_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "core/time.h"
#include "mesh/average.h"
#include "mesh/outcome.h"

namespace oleandertide::mesh {

// Reference for deployments without organisations, which are to be served as
// before. Not thread-safe.
class UnsharedQueue {
 public:
  using Ticket = std::uint64_t;

  struct Request {
    int priority = 0;
    // Time for which the request may wait for a slot.
    Duration wait_allowance{};
    // Time left until the deadline of the request.
    Duration remaining{};
    // Mean run time of the route's requests over all backend servers; zero if
    // unknown.
    Duration expected_run{};
  };

  enum class Verdict : std::uint8_t { kStart, kWait, kReject };

  // Waiting requests that the queue has removed without starting them.
  struct Dropped {
    // No backend server can answer these before their deadline.
    std::vector<Ticket> expired;
    // These missed their latest useful start by a run time; another node may
    // still have a free slot.
    std::vector<Ticket> passed_over;
  };

  // Sets the number of requests that may run concurrently. Precondition: slots
  // >= 0.
  void set_slots(int slots) { slots_ = slots; }

  // Admits, queues or rejects a new request; with kStart it counts as running.
  // Precondition: the ticket is not in use.
  Verdict Offer(MonotonicTime now, Ticket ticket, const Request& request);

  // Returns the next request to start and counts it as running, if a slot is
  // free. Adds requests that can no longer finish in time to `dropped`.
  std::optional<Ticket> StartNext(MonotonicTime now, Dropped& dropped);

  // Removes and returns the waiting requests that cannot finish in time or have
  // missed their latest useful start by a run time.
  Dropped DropLateRequests(MonotonicTime now);

  // Removes a waiting request; returns whether it was waiting.
  bool Remove(Ticket ticket);

  // Removes all waiting requests and returns them.
  std::vector<Ticket> RemoveAll();

  // Frees the slot of a running request. `is_sample` says whether `run_time`
  // counts for the statistics: the time of a run that was cut off does not.
  void Finish(Duration run_time, Duration expected_run, bool is_sample);

  // Records whether the backend server handled a request, or refused or failed
  // it although it should have handled it.
  void RecordResult(bool is_success) { failures_.Add(is_success ? 0 : 1); }

  // Resets the statistics after another backend server has replaced this one.
  void ResetStatistics();

  // Moves the slowness and failure statistics towards their defaults while no
  // request runs; otherwise senders would avoid an idle backend server for
  // ever. `elapsed` is the time since the last call.
  void DecayStatistics(Duration elapsed);

  int running() const { return running_; }
  int waiting() const { return static_cast<int>(waiting_.size()); }

  // Returns the load, without `accepts_requests` and `link_wait`.
  BackendLoad load() const;

 private:
  struct Waiting {
    Ticket ticket;
    Duration expected_run;
    MonotonicTime deadline;
  };
  // Priority, latest useful start, arrival number.
  using Key = std::tuple<int, MonotonicTime, std::uint64_t>;

  using WaitingMap = std::map<Key, Waiting>;

  bool CannotFinishInTime(const Waiting& waiting, MonotonicTime now) const;
  Duration EstimateWait(const Key& key, MonotonicTime now) const;
  // Returns the next request of the most urgent rank. A request that has missed
  // its latest useful start goes first only if the others can wait for the
  // following slot. Precondition: the queue is not empty.
  WaitingMap::iterator FindNext(MonotonicTime now);
  Duration ExpectedLocalRunTime(Duration expected_run) const;

  int slots_ = 0;
  int running_ = 0;
  std::uint64_t arrivals_ = 0;
  WaitingMap waiting_;
  std::map<Ticket, Key> keys_;
  // Window sizes in samples: about a third of a second of a busy backend
  // server.
  static constexpr int kRunTimeWindowSamples = 32;
  static constexpr int kSlownessWindowSamples = 24;
  static constexpr int kFailureWindowSamples = 24;
  ExponentialAverage run_time_us_{kRunTimeWindowSamples};
  ExponentialAverage slowness_{kSlownessWindowSamples, 1};
  ExponentialAverage failures_{kFailureWindowSamples};
};

namespace detail {

// Minimum fraction of the expected run time that must remain before the
// deadline for a request to start: hardly any run is shorter.
inline constexpr double kMinRemainingRunTimeShare = 0.25;

// Minimum delay past the latest useful start after which a request leaves the
// queue. For longer runs the delay is one run time. A request delayed that long
// waits for a backend server that frees no slots. The minimum is about two
// checks of the queue.
inline constexpr Duration kMinLateness = std::chrono::milliseconds(50);

// Half-life of the slowness and failure statistics while no request runs.
inline constexpr Duration kStatisticsHalfLife = std::chrono::seconds(2);

// Limits the effect of one request with an unusual amount of work.
inline constexpr double kMaxSlownessSample = 20;

inline Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace detail

inline Duration UnsharedQueue::ExpectedLocalRunTime(
    Duration expected_run) const {
  if (expected_run > Duration::zero()) {
    return detail::Scale(expected_run, slowness_.value());
  }
  return Duration(static_cast<std::int64_t>(run_time_us_.value()));
}

inline Duration UnsharedQueue::EstimateWait(const Key& key,
                                            MonotonicTime now) const {
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

inline UnsharedQueue::Verdict UnsharedQueue::Offer(MonotonicTime now,
                                                   Ticket ticket,
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

inline std::optional<UnsharedQueue::Ticket> UnsharedQueue::StartNext(
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

inline UnsharedQueue::WaitingMap::iterator UnsharedQueue::FindNext(
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

inline bool UnsharedQueue::CannotFinishInTime(const Waiting& waiting,
                                              MonotonicTime now) const {
  const Duration needed =
      detail::Scale(ExpectedLocalRunTime(waiting.expected_run),
                    detail::kMinRemainingRunTimeShare);
  return now + needed >= waiting.deadline;
}

inline UnsharedQueue::Dropped UnsharedQueue::DropLateRequests(
    MonotonicTime now) {
  Dropped dropped;
  for (const auto& [key, waiting] : waiting_) {
    if (CannotFinishInTime(waiting, now)) {
      dropped.expired.push_back(waiting.ticket);
    } else if (now - std::get<MonotonicTime>(key) >
               std::max(ExpectedLocalRunTime(waiting.expected_run),
                        detail::kMinLateness)) {
      dropped.passed_over.push_back(waiting.ticket);
    }
  }
  for (const Ticket ticket : dropped.expired) Remove(ticket);
  for (const Ticket ticket : dropped.passed_over) Remove(ticket);
  return dropped;
}

inline bool UnsharedQueue::Remove(Ticket ticket) {
  const auto found = keys_.find(ticket);
  if (found == keys_.end()) return false;
  waiting_.erase(found->second);
  keys_.erase(found);
  return true;
}

inline std::vector<UnsharedQueue::Ticket> UnsharedQueue::RemoveAll() {
  std::vector<Ticket> tickets;
  for (const auto& [key, waiting] : waiting_) tickets.push_back(waiting.ticket);
  waiting_.clear();
  keys_.clear();
  return tickets;
}

inline void UnsharedQueue::Finish(Duration run_time, Duration expected_run,
                                  bool is_sample) {
  --running_;
  if (!is_sample) return;
  run_time_us_.Add(static_cast<double>(run_time.count()));
  if (expected_run <= Duration::zero()) return;
  const double ratio = static_cast<double>(run_time.count()) /
                       static_cast<double>(expected_run.count());
  slowness_.Add(std::min(ratio, detail::kMaxSlownessSample));
}

inline void UnsharedQueue::ResetStatistics() {
  run_time_us_ = ExponentialAverage(kRunTimeWindowSamples);
  slowness_ = ExponentialAverage(kSlownessWindowSamples, 1);
  failures_ = ExponentialAverage(kFailureWindowSamples);
}

inline void UnsharedQueue::DecayStatistics(Duration elapsed) {
  if (running_ > 0) return;
  const double share =
      1 - std::exp2(-static_cast<double>(elapsed.count()) /
                    static_cast<double>(detail::kStatisticsHalfLife.count()));
  slowness_.MoveTowards(1, share);
  failures_.MoveTowards(0, share);
}

inline BackendLoad UnsharedQueue::load() const {
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

#endif  // OLEANDERTIDE_TESTS_MESH_UNSHARED_QUEUE_H_
