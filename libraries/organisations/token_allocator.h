// The coordinator's side of the limits of organisations.

#ifndef OLEANDERTIDE_ORGANISATIONS_TOKEN_ALLOCATOR_H_
#define OLEANDERTIDE_ORGANISATIONS_TOKEN_ALLOCATOR_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

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
// requests of an organisation are admitted by tokens, with depth = max(burst,
// 1, rate / 50), over any sequence of coordinators of which no two act at once.
// A client may have sent a request up to the longest wait (0.1 s) before its
// admission, so at most rate * (w + 0.3) + depth of those sent in a window are.
//
// A node with a steady demand gets a standing rate, which ends with the lease
// of the coordinator as it was at the grant, by the store's clock. The bucket
// is refilled only with what is left of the rate. All standing rates together
// are at most 0.75 of it, and their buckets at nodes hold at most half a second
// of them (one request, at 2 requests a second). So no window has more than
//   rate * (w + 0.3 * 0.25 + 0.5 * 0.75) + depth = rate * (w + 0.45) + depth
// which is at most (rate * w + burst) * 1.1 + 20 for w = 5 s and any burst. A
// standing rate that was lowered or given up counts until its end. Those of an
// earlier coordinator count as 0.75 of the rate until the end of its lease.
//
// Load pattern: organisations of very unequal size whose clients are spread
// over many nodes; one sends many times its rate at some of them; the
// coordinator is replaced.
//
// Not thread-safe.
class TokenAllocator {
 public:
  // Times by the store's clock in milliseconds.
  struct Lease {
    // Of this coordinator, as it is certain.
    std::uint64_t end_ms = 0;
    // Until then, standing rates of earlier coordinators may be in use.
    std::uint64_t earlier_rights_end_ms = 0;
    // The store's clock shows at least this.
    std::uint64_t now_ms = 0;
    // And at most this.
    std::uint64_t latest_now_ms = 0;
  };

  // This node became the coordinator.
  void Begin(const LimitMap& limits, BootTime now);

  // Applies the limits of a new configuration. A lowered limit holds for all
  // later grants; a limit that is new begins with an empty bucket.
  void SetLimits(const LimitMap& limits, BootTime now);

  // Returns what the node gets. Requests that wait come first: tokens beyond
  // them are granted only while the bucket is at least half full. Precondition:
  // this node is the coordinator; times do not decrease.
  TokenGrant Grant(const TokenRequest& request, const std::string& node,
                   const Lease& lease, BootTime now);

  // Number of organisations with a limit.
  std::size_t bucket_count() const { return buckets_.size(); }

 private:
  struct StandingRate {
    double rate = 0;
    std::uint64_t until_ms = 0;
  };

  struct Bucket {
    Limit limit;
    // Standing rates that may be in use, by node. A node uses one at a time.
    std::map<std::string, std::vector<StandingRate>> standing;
    // Sum of the highest standing rates of all nodes.
    double reserved = 0;
    // Until then, also those of earlier coordinators.
    std::uint64_t earlier_until_ms = 0;
    BootTime swept_at{};
    // Set if the configuration has no such limit any more. Its standing rates
    // still count should the limit come back.
    std::optional<BootTime> removed_at{};
    double tokens = 0;
    BootTime filled_at{};
    // Up to then, the coming tokens are enough for those who were refused.
    BootTime spoken_for_until{};

    double depth() const;
    void Refill(BootTime now);
    // Refills and forgets standing rates that have ended.
    void Sweep(std::uint64_t store_now_ms, BootTime now);
    void GrantStanding(TokenGrant::Item& item, double demand,
                       const std::string& node, const Lease& lease);
    Duration TimeFor(double tokens) const;
  };

  std::map<std::string, Bucket, std::less<>> buckets_;
};

}  // namespace oleandertide::organisations

#endif  // OLEANDERTIDE_ORGANISATIONS_TOKEN_ALLOCATOR_H_
