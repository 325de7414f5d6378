// Admission of requests to one backend server, at the receiver.

#ifndef OLEANDERTIDE_ROUTING_ADMISSION_H_
#define OLEANDERTIDE_ROUTING_ADMISSION_H_

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "core/result.h"
#include "core/time.h"
#include "routing/reason.h"
#include "routing/request_class.h"

namespace oleandertide::routing {

// Identifies a request at one receiver.
using RequestId = std::uint64_t;

struct AdmissionOptions {
  // Requests that the backend server runs at the same time.
  int slots = 8;
  // Connections that it accepts, including those of abandoned requests.
  int connections = 128;
  // Longest queue, in requests.
  int queue_length = 32;
  // Service time assumed until the first request has finished.
  Duration initial_service_time = std::chrono::milliseconds(20);
};

struct Refusal {
  RequestId id;
  Reason reason;
};

// What one event leads to. Each offered request appears exactly once, either
// as started or as refused, in the decisions of its own offer or a later event.
struct AdmissionDecisions {
  absl::InlinedVector<RequestId, 2> started;
  absl::InlinedVector<Refusal, 2> refused;
};

// Decides which requests run now, wait in a short queue or are refused as not
// run. Bookings, payments and orders go before lookups and displace queued
// lookups when the queue is full. A request is queued only if its expected wait
// and service end before its deadline, and is never started past it.
//
// Times must not decrease between calls. Not thread-safe; AdmissionGate is.
class Admission {
 public:
  // Fails with kInvalidArgument unless slots and connections are at least 1,
  // the queue length is not negative and the service time is positive.
  static Result<Admission> Create(const AdmissionOptions& options);

  // Offers a request. Precondition: `id` is neither queued nor running.
  AdmissionDecisions Offer(MonotonicTime now, RequestId id,
                           RequestClass request_class, MonotonicTime deadline);

  // Records that a running or abandoned request released its connection.
  // Unknown ids are ignored.
  AdmissionDecisions Finish(MonotonicTime now, RequestId id);

  // Records that the caller of a queued request is gone: it is refused with
  // kCallerGone. For a running request nothing changes; Abandon() and Finish()
  // follow from its owner. Unknown ids are ignored.
  AdmissionDecisions Cancel(MonotonicTime now, RequestId id);

  // Records that the owner gave up a running request and has sent the
  // cancellation. The slot becomes free; the connection counts until Finish().
  AdmissionDecisions Abandon(MonotonicTime now, RequestId id);

  // Refuses queued requests whose deadline has passed.
  AdmissionDecisions Expire(MonotonicTime now);

  // Refuses new requests with kDraining from now on. Queued requests were
  // accepted before and still run, so that a planned stop uses no retries.
  void Drain() { refuse_reason_ = Reason::kDraining; }

  // Refuses queued and new requests with `reason` until Reopen(), for example
  // kConnectFailed after the backend server died.
  // Precondition: DefaultOutcome(reason) is kNotRun.
  AdmissionDecisions Close(Reason reason);

  // Accepts requests again, for example after a restart of the backend server.
  void Reopen() { refuse_reason_.reset(); }

  // Returns the earliest deadline of a queued request, for the timer that
  // calls Expire(). Cost is linear in the bounded queue length.
  std::optional<MonotonicTime> next_expiry() const;

  bool is_draining() const { return refuse_reason_ == Reason::kDraining; }
  int running() const { return occupied_slots_; }
  int connections() const { return static_cast<int>(running_.size()); }
  int queued() const {
    return static_cast<int>(queues_[0].size() + queues_[1].size());
  }
  Duration expected_service_time() const { return service_time_; }

 private:
  struct Queued {
    RequestId id;
    MonotonicTime deadline;
  };
  struct Running {
    MonotonicTime started;
    bool holds_slot;
  };
  // Index 0: bookings, payments and orders; index 1: lookups.
  using Queue = std::deque<Queued>;
  static constexpr std::size_t kHighPriority = 0;
  static constexpr std::size_t kLowPriority = 1;

  explicit Admission(const AdmissionOptions& options)
      : options_(options), service_time_(options.initial_service_time) {}

  std::optional<Reason> ReasonToRefuse(MonotonicTime now, std::size_t priority,
                                       MonotonicTime deadline) const;
  Duration ExpectedWait(std::size_t requests_ahead) const;
  bool has_capacity() const;
  void Start(MonotonicTime now, RequestId id, AdmissionDecisions& decisions);
  void StartQueued(MonotonicTime now, AdmissionDecisions& decisions);
  void DisplaceLookup(AdmissionDecisions& decisions);
  void ReleaseSlot(MonotonicTime now, Running& request);

  AdmissionOptions options_;
  std::array<Queue, 2> queues_;
  absl::flat_hash_map<RequestId, Running> running_;
  int occupied_slots_ = 0;
  Duration service_time_;
  std::optional<Reason> refuse_reason_;
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_ADMISSION_H_
