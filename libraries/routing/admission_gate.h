// Blocking, thread-safe access to Admission for worker threads.

#ifndef OLEANDERTIDE_ROUTING_ADMISSION_GATE_H_
#define OLEANDERTIDE_ROUTING_ADMISSION_GATE_H_

#include <absl/container/flat_hash_map.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <stop_token>
#include <utility>
#include <variant>

#include "core/time.h"
#include "routing/admission.h"
#include "routing/reason.h"
#include "routing/request_class.h"

namespace oleandertide::routing {

class AdmissionGate;

// The right to run one request. Releases slot and connection when destroyed.
// Movable; used by one thread at a time; must not outlive its gate.
class AdmissionTicket {
 public:
  AdmissionTicket(AdmissionTicket&& other) noexcept
      : gate_(std::exchange(other.gate_, nullptr)), id_(other.id_) {}
  AdmissionTicket& operator=(AdmissionTicket&& other) noexcept {
    std::swap(gate_, other.gate_);
    std::swap(id_, other.id_);
    return *this;
  }
  ~AdmissionTicket();

  // Frees the slot and keeps counting the connection until destruction. Call
  // it when the request was given up but its connection is not yet closed.
  void Abandon();

 private:
  friend class AdmissionGate;
  AdmissionTicket(AdmissionGate* gate, RequestId id) : gate_(gate), id_(id) {}

  AdmissionGate* gate_;
  RequestId id_;
};

// Runs the Admission state machine under a mutex with the system's monotonic
// clock; worker threads block in Enter(). Thread-safe. Must outlive its tickets
// and every thread in Enter().
class AdmissionGate {
 public:
  explicit AdmissionGate(Admission admission)
      : admission_(std::move(admission)) {}
  AdmissionGate(const AdmissionGate&) = delete;
  AdmissionGate& operator=(const AdmissionGate&) = delete;

  // Blocks until the request may run, is refused, or `cancelled` is requested;
  // at the latest until `deadline`. A refusal is always not-run.
  std::variant<AdmissionTicket, Reason> Enter(RequestClass request_class,
                                              MonotonicTime deadline,
                                              std::stop_token cancelled = {});

  // Forward to Admission; see there.
  void Drain();
  void Close(Reason reason);
  void Reopen();

  // Return the current counts, for metrics and the drain decision.
  int running() const;
  int connections() const;
  int queued() const;

 private:
  friend class AdmissionTicket;

  // Lives on the stack of the waiting thread.
  struct Waiter {
    std::condition_variable_any changed;
    bool is_decided = false;
    std::optional<Reason> refusal;
  };

  void Finish(RequestId id);
  void Abandon(RequestId id);
  // Tells the waiters about decisions. Precondition: mutex_ is held.
  void NotifyWaiters(const AdmissionDecisions& decisions);
  void ResolveWaiter(RequestId id, std::optional<Reason> refusal);

  mutable std::mutex mutex_;
  Admission admission_;
  RequestId next_id_ = 1;
  absl::flat_hash_map<RequestId, Waiter*> waiters_;
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_ADMISSION_GATE_H_
