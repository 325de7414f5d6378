// Admission control for the requests that a receiver passes to one backend
// server.

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
  // Number of requests that the backend server runs concurrently.
  int slots = 8;
  // Number of connections that the backend server accepts, including those of
  // abandoned requests.
  int connections = 128;
  // Maximum number of queued requests.
  int queue_length = 32;
  // Initial value of the moving average of the service time.
  Duration initial_service_time = std::chrono::milliseconds(20);
};

struct Refusal {
  RequestId id;
  Reason reason;
};

// Requests that one event starts or refuses. Each offered request appears
// exactly once, either as started or as refused, in the decisions of its own
// Offer() or of a later event.
struct AdmissionDecisions {
  absl::InlinedVector<RequestId, 2> started;
  absl::InlinedVector<Refusal, 2> refused;
};

// Decides whether a request starts, waits in a short queue or is refused with
// the outcome kNotRun. Bookings, payments and orders start before lookups and
// displace queued lookups when the queue is full. A request is queued only if
// it is expected to end before its deadline, and is never started after it.
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

  // Records that the caller of a queued request has disconnected: the request
  // is refused with kCallerGone. A running request is not affected; its owner
  // calls Abandon() and Finish(). Unknown ids are ignored.
  AdmissionDecisions Cancel(MonotonicTime now, RequestId id);

  // Records that the owner has cancelled a running request at the backend
  // server. Releases the slot; the connection counts until Finish(). Unknown
  // ids are ignored.
  AdmissionDecisions Abandon(MonotonicTime now, RequestId id);

  // Refuses queued requests whose deadline has passed.
  AdmissionDecisions Expire(MonotonicTime now);

  // Refuses new requests with kDraining from now on. Queued requests still run,
  // because refusing them would make a planned stop use up retries.
  void Drain() { refuse_reason_ = Reason::kDraining; }

  // Refuses queued and new requests with `reason` until Reopen(), for example
  // with kConnectFailed after the backend server crashed.
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
  // Bookings, payments and orders have high priority; lookups have low
  // priority.
  using Queue = std::deque<Queued>;
  // Indices into queues_.
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
