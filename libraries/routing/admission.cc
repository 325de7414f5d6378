#include "routing/admission.h"

#include <algorithm>
#include <chrono>

namespace oleandertide::routing {
namespace {

// Each finished request contributes 1/10 to the moving average of the service
// time, so that the last ten or so requests determine it.
constexpr int kServiceTimeDivisor = 10;

constexpr Duration kMinimumServiceTime{1};  // 1 us

}  // namespace

Result<Admission> Admission::Create(const AdmissionOptions& options) {
  const bool is_valid = options.slots >= 1 && options.connections >= 1 &&
                        options.queue_length >= 0 &&
                        options.initial_service_time > Duration(0);
  if (!is_valid) return Error::kInvalidArgument;
  return Admission(options);
}

AdmissionDecisions Admission::Offer(MonotonicTime now, RequestId id,
                                    RequestClass request_class,
                                    MonotonicTime deadline) {
  AdmissionDecisions decisions;
  // Expired requests are removed first because they would take up queue space.
  StartQueued(now, decisions);
  const std::size_t priority =
      IsShedFirst(request_class) ? kLowPriority : kHighPriority;
  if (const auto reason = ReasonToRefuse(now, priority, deadline)) {
    decisions.refused.push_back({id, *reason});
    return decisions;
  }
  if (queued() == 0 && has_capacity()) {
    Start(now, id, decisions);
    return decisions;
  }
  if (queued() >= options_.queue_length) DisplaceLookup(decisions);
  queues_[priority].push_back({id, deadline});
  return decisions;
}

AdmissionDecisions Admission::Finish(MonotonicTime now, RequestId id) {
  AdmissionDecisions decisions;
  const auto found = running_.find(id);
  if (found == running_.end()) return decisions;
  ReleaseSlot(now, found->second);
  running_.erase(found);
  StartQueued(now, decisions);
  return decisions;
}

AdmissionDecisions Admission::Cancel(MonotonicTime now, RequestId id) {
  AdmissionDecisions decisions;
  for (Queue& queue : queues_) {
    if (std::erase_if(queue, [id](const Queued& q) { return q.id == id; }) >
        0) {
      decisions.refused.push_back({id, Reason::kCallerGone});
    }
  }
  StartQueued(now, decisions);
  return decisions;
}

AdmissionDecisions Admission::Abandon(MonotonicTime now, RequestId id) {
  AdmissionDecisions decisions;
  const auto found = running_.find(id);
  if (found == running_.end()) return decisions;
  ReleaseSlot(now, found->second);
  StartQueued(now, decisions);
  return decisions;
}

AdmissionDecisions Admission::Expire(MonotonicTime now) {
  AdmissionDecisions decisions;
  for (Queue& queue : queues_) {
    std::erase_if(queue, [&](const Queued& queued) {
      if (queued.deadline > now) return false;
      decisions.refused.push_back({queued.id, Reason::kDeadlinePassed});
      return true;
    });
  }
  StartQueued(now, decisions);
  return decisions;
}

AdmissionDecisions Admission::Close(Reason reason) {
  AdmissionDecisions decisions;
  for (Queue& queue : queues_) {
    for (const Queued& queued : queue) {
      decisions.refused.push_back({queued.id, reason});
    }
    queue.clear();
  }
  refuse_reason_ = reason;
  return decisions;
}

std::optional<MonotonicTime> Admission::next_expiry() const {
  std::optional<MonotonicTime> earliest;
  for (const Queue& queue : queues_) {
    for (const Queued& queued : queue) {
      earliest = std::min(earliest.value_or(queued.deadline), queued.deadline);
    }
  }
  return earliest;
}

std::optional<Reason> Admission::ReasonToRefuse(MonotonicTime now,
                                                std::size_t priority,
                                                MonotonicTime deadline) const {
  if (refuse_reason_.has_value()) return refuse_reason_;
  if (deadline <= now) return Reason::kDeadlinePassed;
  // A connection is released only when a request ends. An abandoned request may
  // never end, so the wait for a connection would be unbounded.
  if (connections() >= options_.connections) return Reason::kConnectionLimit;
  if (queued() == 0 && has_capacity()) return std::nullopt;

  const bool may_displace =
      priority == kHighPriority && !queues_[kLowPriority].empty();
  if (queued() >= options_.queue_length && !may_displace) {
    return Reason::kQueueFull;
  }
  const std::size_t requests_ahead =
      queues_[kHighPriority].size() +
      (priority == kLowPriority ? queues_[kLowPriority].size() : 0);
  // The estimate is used only while all slots are busy. A free slot always
  // accepts the next request, whose service time corrects a wrong estimate.
  const MonotonicTime expected_end =
      now + ExpectedWait(requests_ahead) + service_time_;
  if (expected_end > deadline) return Reason::kShed;
  return std::nullopt;
}

// Returns the expected wait of a request when all slots are busy and
// `requests_ahead` requests start before it. On average, one slot becomes free
// every service_time_ / slots.
Duration Admission::ExpectedWait(std::size_t requests_ahead) const {
  return service_time_ * static_cast<std::int64_t>(requests_ahead + 1) /
         options_.slots;
}

bool Admission::has_capacity() const {
  return occupied_slots_ < options_.slots &&
         connections() < options_.connections;
}

void Admission::Start(MonotonicTime now, RequestId id,
                      AdmissionDecisions& decisions) {
  running_.emplace(id, Running{.started = now, .holds_slot = true});
  ++occupied_slots_;
  decisions.started.push_back(id);
}

// Starts queued requests while there is capacity, higher classes first, and
// refuses those whose deadline has passed or is too near.
void Admission::StartQueued(MonotonicTime now, AdmissionDecisions& decisions) {
  for (Queue& queue : queues_) {
    while (!queue.empty()) {
      const Queued next = queue.front();
      if (next.deadline <= now) {
        decisions.refused.push_back({next.id, Reason::kDeadlinePassed});
      } else if (!has_capacity()) {
        break;
      } else if (now + service_time_ > next.deadline) {
        // The request would probably end after its deadline and waste the slot.
        decisions.refused.push_back({next.id, Reason::kShed});
      } else {
        Start(now, next.id, decisions);
      }
      queue.pop_front();
    }
  }
}

// Refuses the lookup at the end of the queue: it has waited for the shortest
// time and would start last.
void Admission::DisplaceLookup(AdmissionDecisions& decisions) {
  decisions.refused.push_back({queues_[kLowPriority].back().id, Reason::kShed});
  queues_[kLowPriority].pop_back();
}

void Admission::ReleaseSlot(MonotonicTime now, Running& request) {
  if (!request.holds_slot) return;
  request.holds_slot = false;
  --occupied_slots_;
  const Duration elapsed = now - request.started;
  service_time_ += (elapsed - service_time_) / kServiceTimeDivisor;
  service_time_ = std::max(service_time_, kMinimumServiceTime);
}

}  // namespace oleandertide::routing
