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

// Permission to run one request. Releases the slot and the connection when
// destroyed.
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

  // Releases the slot; the connection counts until destruction. Call this when
  // the request was cancelled but its connection is not yet closed.
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

  // Blocks until the request may run, is refused, `cancelled` is requested or
  // `deadline` passes. The outcome of a refused request is always kNotRun.
  std::variant<AdmissionTicket, Reason> Enter(RequestClass request_class,
                                              MonotonicTime deadline,
                                              std::stop_token cancelled = {});

  // Call the functions of the same names of Admission.
  void Drain();
  void Close(Reason reason);
  void Reopen();

  // Return the numbers of slots in use, connections and queued requests, for
  // metrics and for Drain::Advance().
  int running() const;
  int connections() const;
  int queued() const;

 private:
  friend class AdmissionTicket;

  // Allocated on the stack of the waiting thread.
  struct Waiter {
    std::condition_variable_any changed;
    bool is_decided = false;
    std::optional<Reason> refusal;
  };

  void Finish(RequestId id);
  void Abandon(RequestId id);
  // Wakes the threads whose requests were started or refused. Both functions
  // require mutex_.
  void NotifyWaiters(const AdmissionDecisions& decisions);
  void ResolveWaiter(RequestId id, std::optional<Reason> refusal);

  mutable std::mutex mutex_;
  Admission admission_;
  RequestId next_id_ = 1;
  absl::flat_hash_map<RequestId, Waiter*> waiters_;
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_ADMISSION_GATE_H_
