#include "routing/admission_gate.h"

#include <chrono>
#include <utility>

namespace oleandertide::routing {
namespace {

std::chrono::steady_clock::time_point ToSteady(MonotonicTime time) {
  return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

}  // namespace

AdmissionTicket::~AdmissionTicket() {
  if (gate_ != nullptr) gate_->Finish(id_);
}

void AdmissionTicket::Abandon() {
  if (gate_ != nullptr) gate_->Abandon(id_);
}

std::variant<AdmissionTicket, Reason> AdmissionGate::Enter(
    RequestClass request_class, MonotonicTime deadline,
    std::stop_token cancelled) {
  std::unique_lock lock(mutex_);
  const RequestId id = next_id_++;
  Waiter waiter;
  waiters_.emplace(id, &waiter);
  NotifyWaiters(
      admission_.Offer(MonotonicClock::now(), id, request_class, deadline));
  const auto is_decided = [&waiter] { return waiter.is_decided; };
  if (!waiter.changed.wait_until(lock, std::move(cancelled), ToSteady(deadline),
                                 is_decided)) {
    // Only a queued request is still undecided. Expire() refuses it if its
    // deadline has passed; otherwise its caller has disconnected and Cancel()
    // refuses it.
    NotifyWaiters(admission_.Expire(MonotonicClock::now()));
    if (!waiter.is_decided) {
      NotifyWaiters(admission_.Cancel(MonotonicClock::now(), id));
    }
  }
  if (waiter.refusal.has_value()) return *waiter.refusal;
  return AdmissionTicket(this, id);
}

void AdmissionGate::Drain() {
  const std::lock_guard lock(mutex_);
  admission_.Drain();
}

void AdmissionGate::Close(Reason reason) {
  const std::lock_guard lock(mutex_);
  NotifyWaiters(admission_.Close(reason));
}

void AdmissionGate::Reopen() {
  const std::lock_guard lock(mutex_);
  admission_.Reopen();
}

int AdmissionGate::running() const {
  const std::lock_guard lock(mutex_);
  return admission_.running();
}

int AdmissionGate::connections() const {
  const std::lock_guard lock(mutex_);
  return admission_.connections();
}

int AdmissionGate::queued() const {
  const std::lock_guard lock(mutex_);
  return admission_.queued();
}

void AdmissionGate::Finish(RequestId id) {
  const std::lock_guard lock(mutex_);
  NotifyWaiters(admission_.Finish(MonotonicClock::now(), id));
}

void AdmissionGate::Abandon(RequestId id) {
  const std::lock_guard lock(mutex_);
  NotifyWaiters(admission_.Abandon(MonotonicClock::now(), id));
}

void AdmissionGate::NotifyWaiters(const AdmissionDecisions& decisions) {
  for (const RequestId id : decisions.started) ResolveWaiter(id, std::nullopt);
  for (const Refusal& refusal : decisions.refused) {
    ResolveWaiter(refusal.id, refusal.reason);
  }
}

void AdmissionGate::ResolveWaiter(RequestId id, std::optional<Reason> refusal) {
  const auto found = waiters_.find(id);
  if (found == waiters_.end()) return;
  found->second->is_decided = true;
  found->second->refusal = refusal;
  found->second->changed.notify_one();
  waiters_.erase(found);
}

}  // namespace oleandertide::routing
