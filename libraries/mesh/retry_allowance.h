// A node's share of the fleet's budget for repeated requests.

#ifndef OLEANDERTIDE_MESH_RETRY_ALLOWANCE_H_
#define OLEANDERTIDE_MESH_RETRY_ALLOWANCE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace oleandertide::mesh {

// Requests that reach a second backend server are bounded for each service over
// all nodes. No node knows what others spend, so each keeps to a share that is
// safe if all spend at once: a part of its own first requests, and an equal
// part of the fixed allowance.
//
// A request that a backend server refused costs one arrival when it is sent
// again. One that ran costs more: its run repeats its calls to other services,
// where they count as repeats as well. So the two have shares of their own.
//
// Load pattern: backend servers fail or refuse a large share of requests at
// once, and repeats would make it worse.
//
// Not thread-safe.
class RetryAllowance {
 public:
  struct Options {
    // Repeats of all kinds for each first request.
    double ratio = 0.15;
    // Repeats of runs for each first request. Calls of runs are requests too,
    // so the sum of both shares bounds what a service receives.
    double run_ratio = 0.05;
    // Most repeats that can be saved up.
    double max_saved_retries = 4;
  };

  enum class RetryKind : std::uint8_t { kRefused, kRun };

  explicit RetryAllowance(const Options& options) : options_(options) {}

  // Records the first request of a client for `service`.
  void RecordRequest(std::string_view service);

  // Takes one repeat; returns false if none is left.
  bool TryTake(std::string_view service, RetryKind kind);

 private:
  struct Balance {
    double all = 0;
    double runs = 0;
  };

  Balance& Find(std::string_view service);

  const Options options_;
  std::map<std::string, Balance, std::less<>> balances_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_RETRY_ALLOWANCE_H_
