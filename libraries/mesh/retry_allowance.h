// A node's share of the fleet-wide retry budget.

#ifndef OLEANDERTIDE_MESH_RETRY_ALLOWANCE_H_
#define OLEANDERTIDE_MESH_RETRY_ALLOWANCE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace oleandertide::mesh {

// A budget over all nodes limits, for each service, the requests that reach a
// second backend server. No node knows how much the others spend. Each node
// therefore uses only a share that is safe if all nodes spend at once: a
// fraction of its own first requests, and an equal part of the fixed allowance.
//
// Repeating a request that a backend server refused costs one more arrival.
// Repeating one that ran costs more: the new run also repeats its calls to
// other services, where they count as repeats too. Each of the two kinds
// therefore has its own ratio.
//
// Load pattern: backend servers fail or refuse a large share of requests at
// once, and unlimited repeats would increase the overload.
//
// Not thread-safe.
class RetryAllowance {
 public:
  struct Options {
    // Number of repeats of all kinds allowed per first request.
    double ratio = 0.15;
    // Number of repeated runs allowed per first request. Calls made by runs are
    // requests too; the sum of both ratios therefore limits what a service
    // receives.
    double run_ratio = 0.05;
    // Maximum number of unused repeats that accumulate for a service.
    double max_saved_retries = 4;
  };

  enum class RetryKind : std::uint8_t { kRefused, kRun };

  explicit RetryAllowance(const Options& options) : options_(options) {}

  // Records the first attempt of a client's request for `service`.
  void RecordRequest(std::string_view service);

  // Adds `count` repeats of each kind for each service, beyond the limit of
  // what is saved.
  //
  // Load pattern: a node that stops gets few requests that earn it repeats, and
  // must not give up those that it has taken.
  void AddReserve(int count);

  // Takes one repeat from the balance; returns false if none is left.
  bool TryTake(std::string_view service, RetryKind kind);

 private:
  struct Balance {
    double all = 0;
    double runs = 0;
  };

  Balance& Find(std::string_view service);

  const Options options_;
  // Added to the balance of each service.
  double reserve_ = 0;
  std::map<std::string, Balance, std::less<>> balances_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_RETRY_ALLOWANCE_H_
