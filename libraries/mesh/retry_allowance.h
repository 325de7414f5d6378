// A node's share of the fleet's budget for repeated requests.

#ifndef OLEANDERTIDE_MESH_RETRY_ALLOWANCE_H_
#define OLEANDERTIDE_MESH_RETRY_ALLOWANCE_H_

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
// Load pattern: backend servers fail or refuse a large share of requests at
// once, and repeats would make it worse.
//
// Not thread-safe.
class RetryAllowance {
 public:
  struct Options {
    // Repeats for each first request. Half of the fleet's ratio: a repeated run
    // repeats its calls to other services as well.
    double ratio = 0.1;
    // Most repeats that can be saved up.
    double saved = 4;
  };

  explicit RetryAllowance(const Options& options) : options_(options) {}

  // Records the first request of a client for `service`.
  void RecordRequest(std::string_view service);

  // Takes one repeat; returns false if none is left.
  bool TryTake(std::string_view service);

 private:
  double& Balance(std::string_view service);

  const Options options_;
  std::map<std::string, double, std::less<>> balances_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_RETRY_ALLOWANCE_H_
