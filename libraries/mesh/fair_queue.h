// Waiting requests of one rank, served fairly by organisation.

#ifndef OLEANDERTIDE_MESH_FAIR_QUEUE_H_
#define OLEANDERTIDE_MESH_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"

namespace oleandertide::mesh {

// Mean run times at the local backend server.
struct RunTimeEstimate {
  // Of all requests.
  Duration mean{};
  // Ratio of its run times to those of other backend servers.
  double slowness = 1;

  // Returns the expected run time of a request with the given mean over all
  // backend servers, zero if unknown. Thread-safe.
  Duration For(Duration expected_run) const;
};

// Start-time fair queueing: each organisation has a virtual time, which
// advances by run time divided by weight when a request of it starts, and the
// one that is furthest behind is next. An organisation that becomes active does
// not get credit for the time before. Among requests of one organisation the
// earliest latest useful start goes first. A request that has missed its latest
// useful start must not delay another one past its own: otherwise, under
// overload, every request would start just too late. So organisations whose
// requests are all late are passed over while those of others cannot wait.
//
// With a single organisation the order is that of the latest useful start
// alone.
//
// Load pattern: one organisation sends many times its usual rate. It gets the
// capacity that others leave.
//
// Costs O(log n) for each request that is added, removed or started, and the
// number of waiting organisations whose requests are all late, which leave the
// queue within a run time. Organisations without waiting requests are kept only
// while they are ahead, and a bounded number of them.
//
// Not thread-safe.
class FairQueue {
 public:
  using Ticket = std::uint64_t;
  // Latest useful start, arrival number.
  using Key = std::pair<MonotonicTime, std::uint64_t>;

  struct Waiting {
    Ticket ticket = 0;
    Duration expected_run{};
    MonotonicTime deadline{};
  };

  struct Position {
    std::string organisation;
    Key key;
  };

  FairQueue() = default;
  // Not copyable: entries refer to names in `flows_`.
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;
  FairQueue(FairQueue&&) = default;
  FairQueue& operator=(FairQueue&&) = default;
  ~FairQueue() = default;

  // Adds a request. Preconditions: the key is not in use; `weight` > 0.
  void Add(const Position& position, double weight, const Waiting& waiting);

  // Returns a request. Precondition: it waits.
  const Waiting& Get(const Position& position) const;

  // Removes a request without starting it. Precondition: it waits.
  void Remove(const Position& position);

  // Advances the virtual time of an organisation by the run time of a request
  // that starts. Call before Remove() for one that waited.
  void Charge(std::string_view organisation, double weight, Duration run_time);

  // Returns the next request to start; `interval` is the expected time until
  // the following slot becomes free. Precondition: requests wait.
  Position FindNext(MonotonicTime now, Duration interval) const;

  // Returns the weight of an organisation. Precondition: it has requests that
  // wait.
  double weight(std::string_view organisation) const {
    return flows_.find(organisation)->second.weight;
  }

  // Returns the run time in microseconds of the requests that would start
  // before a new one at `position`.
  double WorkBefore(const Position& position, double weight, MonotonicTime now,
                    const RunTimeEstimate& run_times) const;

  // Returns the run time in microseconds of all requests that are in time.
  double TotalWork(MonotonicTime now, const RunTimeEstimate& run_times) const;

  // Calls `visit` for each waiting request.
  void ForEach(
      const std::function<void(const Position&, const Waiting&)>& visit) const;

  int size() const { return size_; }
  // Organisations of which state is kept.
  std::size_t flow_count() const { return flows_.size(); }

 private:
  using WaitingMap = std::map<Key, Waiting>;

  struct Flow {
    WaitingMap waiting;
    double weight = 1;
    // Virtual time at which the next request starts.
    double start = 0;
  };
  using FlowMap = std::map<std::string, Flow, std::less<>>;
  // Virtual start and organisation.
  using Order = std::set<std::pair<double, std::string_view>>;

  // Sum over the requests that are in time and have a key less than `end`.
  static double SumWork(const WaitingMap& waiting, MonotonicTime now,
                        WaitingMap::const_iterator end,
                        const RunTimeEstimate& run_times);
  FlowMap::iterator FindOrAdd(std::string_view organisation);
  // Removes idle flows that have no effect, and others beyond the bound.
  void TrimIdle();

  FlowMap flows_;
  // Flows with and without waiting requests.
  Order active_;
  Order idle_;
  // Virtual start of the last request that was started.
  double virtual_time_ = 0;
  int size_ = 0;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_FAIR_QUEUE_H_
