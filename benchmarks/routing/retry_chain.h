// A chain of services that call each other and fail, for retry figures.

#ifndef OLEANDERTIDE_BENCHMARKS_ROUTING_RETRY_CHAIN_H_
#define OLEANDERTIDE_BENCHMARKS_ROUTING_RETRY_CHAIN_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "routing/retry_policy.h"

namespace oleandertide::routing {

struct RetryChainOptions {
  int depth = 14;
  bool has_budget = true;
  // Share of the attempts that are refused at each service as not run.
  double not_run_share = 0;
  // Share of the attempts whose answer is lost at each service.
  double unknown_share = 0;
  // All routes may be repeated; the worst case for the budget.
  int requests = 20'000;
  Duration between_requests{15'000};  // About the load of one node.
};

// Sends requests through a chain in which each service uses one RetryPolicy,
// and an attempt that fails further down counts as unknown.
class RetryChain {
 public:
  explicit RetryChain(const RetryChainOptions& options);

  // Returns the largest number of attempts at one service per request of the
  // first caller.
  double MeasureAmplification();

 private:
  Outcome Call(std::size_t hop, bool is_marked, MonotonicTime now);
  AttemptResult Attempt(std::size_t hop, bool is_marked, MonotonicTime now);

  RetryChainOptions options_;
  RandomSource random_{11};
  std::vector<std::unique_ptr<RetryPolicy>> policies_;
  std::vector<std::int64_t> attempts_;
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_BENCHMARKS_ROUTING_RETRY_CHAIN_H_
