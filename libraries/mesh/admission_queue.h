// Queue of the requests that wait for a slot of the local backend server.

#ifndef OLEANDERTIDE_MESH_ADMISSION_QUEUE_H_
#define OLEANDERTIDE_MESH_ADMISSION_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "mesh/average.h"
#include "mesh/fair_queue.h"
#include "mesh/outcome.h"
#include "mesh/slot_reserve.h"

namespace oleandertide::mesh {

// Admission control at the receiving node: only this node knows the slots of
// its backend server.
//
// Load pattern: more work arrives than the slots can run. The queue rejects a
// request on arrival if its expected wait exceeds the sender's allowance, since
// a rejection after waiting costs the caller the time to try another node. The
// most urgent routes start first. Within a rank, the request with the earliest
// latest useful start of its organisation goes first: short requests would
// otherwise expire behind long ones. A request that has missed its latest
// useful start must not delay another one past its own; otherwise, under
// overload, every request would start just too late. A request that misses its
// latest useful start by a run time is dropped, and the sender can try another
// node.
//
// Not thread-safe. Each ticket is in one of two states, waiting or running.
class AdmissionQueue {
 public:
  using Ticket = FairQueue::Ticket;

  struct Request {
    int priority = 0;
    // Time for which the request may wait for a slot.
    Duration wait_allowance{};
    // Time left until the deadline of the request.
    Duration remaining{};
    // Mean run time of the route's requests over all backend servers; zero if
    // unknown.
    Duration expected_run{};
    // Organisation of the client; empty if there is none. Within a rank,
    // organisations share the slots in proportion to their weights.
    std::string organisation{};
    // Greater than zero.
    double weight = 1;
    // Whether a backend server made the call while it ran another request.
    bool is_backend_server_call = false;
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

  // Whether requests of clients leave slots free for calls of backend servers;
  // off at first. See SlotReserve.
  void set_reserves_slots(bool reserves) { reserve_.set_enabled(reserves); }

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
  // `is_backend_server_call` is that of the request.
  void Finish(Duration run_time, Duration expected_run, bool is_sample,
              bool is_backend_server_call = false);

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
  int waiting() const { return static_cast<int>(positions_.size()); }

  // Returns the load, without `accepts_requests` and `link_wait`.
  BackendLoad load() const;

 private:
  struct Position {
    int priority = 0;
    bool is_backend_server_call = false;
    FairQueue::Position in_rank;
  };

  static bool CannotFinishInTime(const FairQueue::Waiting& waiting,
                                 MonotonicTime now,
                                 const RunTimeEstimate& run_times);
  Duration EstimateWait(const Request& request,
                        const FairQueue::Position& position,
                        MonotonicTime now) const;
  // Number of slots that a request may find in use and still start.
  int AvailableSlots(bool is_backend_server_call) const;
  bool CanStartAtOnce(const Request& request) const;
  void RecordStart(bool is_backend_server_call);
  // Updates the reserve after the number of calls may have changed.
  void RecordCalls(MonotonicTime now);
  RunTimeEstimate run_times() const;

  int slots_ = 0;
  int running_ = 0;
  // Calls of backend servers among those that run and wait.
  int running_calls_ = 0;
  int waiting_calls_ = 0;
  std::uint64_t arrivals_ = 0;
  SlotReserve reserve_;
  // By rank. A queue without waiting requests is kept only while it knows of
  // organisations that are ahead of others.
  std::map<int, FairQueue> ranks_;
  std::map<Ticket, Position> positions_;
  // Window sizes in samples: about a third of a second of a busy backend
  // server.
  static constexpr int kRunTimeWindowSamples = 32;
  static constexpr int kSlownessWindowSamples = 24;
  static constexpr int kFailureWindowSamples = 24;
  ExponentialAverage run_time_us_{kRunTimeWindowSamples};
  ExponentialAverage slowness_{kSlownessWindowSamples, 1};
  ExponentialAverage failures_{kFailureWindowSamples};
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_ADMISSION_QUEUE_H_
