// Which requests wait for a slot of a backend server, and in which order.

#ifndef OLEANDERTIDE_MESH_ADMISSION_QUEUE_H_
#define OLEANDERTIDE_MESH_ADMISSION_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "core/time.h"
#include "mesh/average.h"
#include "mesh/outcome.h"

namespace oleandertide::mesh {

// Decides at the receiver, which alone knows its backend server's slots.
//
// Load pattern: more work arrives than the slots can run. A request is refused
// on arrival if its wait would exceed what the sender allows, since a refusal
// after waiting costs the caller the time to go elsewhere. The most urgent
// routes go first, and within a rank the request whose latest useful start is
// nearest, so that short requests do not expire behind long ones. One that has
// missed its start makes no other miss it, or every request would be started
// just when it is too late. If it is passed over for as long as a run takes, it
// is given back, so that it can go elsewhere.
//
// Not thread-safe. Each ticket is in one of two states, waiting or running.
class AdmissionQueue {
 public:
  using Ticket = std::uint64_t;

  struct Request {
    int priority = 0;
    // Time for which the request may wait for a slot.
    Duration wait_allowance{};
    // Time left until the answer is of no use.
    Duration remaining{};
    // Mean run time of such requests over all backend servers; zero if unknown.
    Duration expected_run{};
  };

  enum class Verdict : std::uint8_t { kStart, kWait, kReject };

  // Waiting requests that were given up.
  struct Dropped {
    // They can no longer be answered in time for anybody.
    std::vector<Ticket> expired;
    // They missed their latest useful start by a run time; another node may
    // still have room.
    std::vector<Ticket> passed_over;
  };

  // Sets the requests that may run at once. Precondition: slots >= 0.
  void set_slots(int slots) { slots_ = slots; }

  // Decides about a new request; kStart counts it as running.
  // Precondition: the ticket is not in use.
  Verdict Offer(MonotonicTime now, Ticket ticket, const Request& request);

  // Returns the next request to start and counts it as running, if a slot is
  // free. Requests that are given up on the way are added to `dropped`.
  std::optional<Ticket> StartNext(MonotonicTime now, Dropped& dropped);

  // Removes and returns the waiting requests that are of no use any more.
  Dropped DropLateRequests(MonotonicTime now);

  // Removes a waiting request; returns whether it was waiting.
  bool Remove(Ticket ticket);

  // Removes all waiting requests and returns them.
  std::vector<Ticket> RemoveAll();

  // A running request left its slot. A run that ended by itself is a sample of
  // run times, one that was cut off is not.
  void Finish(Duration run_time, Duration expected_run, bool is_sample);

  // Records whether the backend server took a request, or refused or failed it
  // without need.
  void RecordResult(bool is_success) { failures_.Add(is_success ? 0 : 1); }

  // Forgets what was learnt of the backend server, since another took its
  // place.
  void ResetStatistics();

  // Moves what was learnt towards the usual, so that a backend server that got
  // no requests is tried again. To be called with the time since the last call.
  void DecayStatistics(Duration elapsed);

  int running() const { return running_; }
  int waiting() const { return static_cast<int>(waiting_.size()); }

  // Describes the load, but for whether requests are accepted.
  BackendLoad load() const;

 private:
  struct Waiting {
    Ticket ticket;
    Duration expected_run;
    MonotonicTime deadline;
  };
  // Rank, latest useful start, order of arrival.
  using Key = std::tuple<int, MonotonicTime, std::uint64_t>;

  using WaitingMap = std::map<Key, Waiting>;

  bool CannotFinishInTime(const Waiting& waiting, MonotonicTime now) const;
  Duration EstimateWait(const Key& key, MonotonicTime now) const;
  // Returns the next of the most urgent rank. One that can no longer be in time
  // goes first only if the others can wait for the slot after it.
  // Precondition: some request waits.
  WaitingMap::iterator FindNext(MonotonicTime now);
  Duration ExpectedLocalRunTime(Duration expected_run) const;

  int slots_ = 0;
  int running_ = 0;
  std::uint64_t arrivals_ = 0;
  WaitingMap waiting_;
  std::map<Ticket, Key> keys_;
  // Windows of samples: about a third of a second of a busy backend server.
  static constexpr int kRunTimeWindowSamples = 32;
  static constexpr int kSlownessWindowSamples = 24;
  static constexpr int kFailureWindowSamples = 24;
  ExponentialAverage run_time_us_{kRunTimeWindowSamples};
  ExponentialAverage slowness_{kSlownessWindowSamples, 1};
  ExponentialAverage failures_{kFailureWindowSamples};
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_ADMISSION_QUEUE_H_
