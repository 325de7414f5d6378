// The coordinator's side of the limits of organisations.

#ifndef OLEANDERTIDE_ORGANISATIONS_TOKEN_ALLOCATOR_H_
#define OLEANDERTIDE_ORGANISATIONS_TOKEN_ALLOCATOR_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "core/time.h"
#include "organisations/limit_messages.h"

namespace oleandertide::organisations {

// Limit of one organisation over the fleet.
struct Limit {
  // Requests a second; above 0.
  double rate = 0;
  // Requests that may come at once beyond the rate.
  double burst = 0;

  bool operator==(const Limit&) const = default;
};

using LimitMap = std::map<std::string, Limit, std::less<>>;

// Grants tokens from one bucket for each organisation with a limit. Each
// bucket begins empty: what an earlier coordinator granted from its own bucket
// may be in use. Tokens are used within kTokenLifetime of the grant, so in a
// window of w seconds at most
//   rate * (w + 0.2) + depth
// requests of an organisation are admitted, with depth = max(burst, 1, rate /
// 20), over any sequence of coordinators of which no two act at once. A client
// may have sent a request up to the longest wait (0.1 s) before its admission,
// so at most rate * (w + 0.3) + depth of those sent in a window are admitted.
// That is below (rate * w + burst) * 1.1 + 20 for w = 5 s and any burst.
//
// Load pattern: organisations of very unequal size whose clients are spread
// over many nodes; one sends many times its rate at some of them; the
// coordinator is replaced.
//
// Not thread-safe.
class TokenAllocator {
 public:
  // This node became the coordinator.
  void Begin(const LimitMap& limits, BootTime now);

  // Applies the limits of a new configuration. A lowered limit holds for all
  // later grants; a limit that is new begins with an empty bucket.
  void SetLimits(const LimitMap& limits, BootTime now);

  // Returns what the node gets. Requests that wait come first: tokens beyond
  // them are granted only while the bucket is at least half full. Precondition:
  // this node is the coordinator; times do not decrease.
  TokenGrant Grant(const TokenRequest& request, BootTime now);

  // Number of organisations with a limit.
  std::size_t bucket_count() const { return buckets_.size(); }

 private:
  struct Bucket {
    Limit limit;
    double tokens = 0;
    BootTime filled_at{};
    // Up to then, the coming tokens are enough for those who were refused.
    BootTime spoken_for_until{};

    double depth() const;
    void Refill(BootTime now);
    Duration TimeFor(double tokens) const;
  };

  std::map<std::string, Bucket, std::less<>> buckets_;
};

}  // namespace oleandertide::organisations

#endif  // OLEANDERTIDE_ORGANISATIONS_TOKEN_ALLOCATOR_H_
