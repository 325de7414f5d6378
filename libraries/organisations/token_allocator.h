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
#include "organisations/sliding_window.h"

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

// Grants tokens from one bucket for each organisation with a limit. The limit
// is one of windows: (rate * window + burst) requests in each. The bucket's
// fill rate is therefore rate + burst / window, and a sliding window keeps what
// was granted, and tokens that are left, within the limit of each window. With
// a fill rate of `rate`, an organisation that asks for more than its limit all
// the time would never get its burst again, a sixth of what it may send if the
// burst is a second of the rate.
//
// Tokens are used within kTokenLifetime of the grant, and a client may have
// sent a request up to the longest wait (0.1 s) before its admission. So of the
// requests sent in a window of w seconds, at most
//   fill rate * (w + 0.3)
// are admitted by tokens of one coordinator. Another coordinator does not know
// what the one before granted, so its buckets begin with a debt of the burst
// less Bounds::slack; over any sequence of coordinators of which no two act at
// once, at most Bounds::slack more are admitted.
//
// A node with a steady demand gets a standing rate, which ends with the lease
// of the coordinator as it was at the grant, by the store's clock. The bucket
// is refilled only with what is left of the fill rate. All standing rates
// together are at most 0.75 of it, and their buckets at nodes hold at most half
// a second of them (one request, at 2 requests a second). So no window has more
// than
//   fill rate * (w + 0.3 * 0.25 + 0.5 * 0.75) + slack
//     = fill rate * (w + 0.45) + slack
// which is at most (rate * w + burst) * (1 + overage) + slack for an overage of
// 0.1 and w = 5 s. With other bounds the fill rate is lowered accordingly. A
// standing rate that was lowered or given up counts until its end. Those of an
// earlier coordinator count as 0.75 of the fill rate until the end of its
// lease.
//
// Load pattern: organisations of very unequal size whose clients are spread
// over many nodes; one sends many times its rate at some of them; the
// coordinator is replaced.
//
// Not thread-safe.
class TokenAllocator {
 public:
  // The promise that limits keep: (rate * window + burst) * (1 + overage) +
  // slack requests in each window.
  struct Bounds {
    // At least 1 s.
    Duration window = std::chrono::seconds(5);
    double overage = 0.1;
    double slack = 20;
  };

  TokenAllocator() : TokenAllocator(Bounds{}) {}
  explicit TokenAllocator(const Bounds& bounds);

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
  // later grants, and what was granted before counts against it in proportion;
  // a limit that is new begins with an empty bucket.
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
    explicit Bucket(const Bounds& bounds)
        : bounds(bounds), granted(bounds.window) {}

    Bounds bounds;
    Limit limit;
    // Tokens and standing rates of the last window.
    SlidingWindow granted;
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
    double fill_rate() const;
    // Requests in one window.
    double capacity() const;
    void Refill(BootTime now);
    void Take(std::uint32_t count);
    // Refills and forgets standing rates that have ended.
    void Sweep(std::uint64_t store_now_ms, BootTime now);
    void GrantStanding(TokenGrant::Item& item, double demand,
                       const std::string& node, const Lease& lease);
    Duration TimeFor(double missing) const;
    // Time until there is a token.
    Duration TimeUntilToken(BootTime now) const;
  };

  Bounds bounds_;
  std::map<std::string, Bucket, std::less<>> buckets_;
};

}  // namespace oleandertide::organisations

#endif  // OLEANDERTIDE_ORGANISATIONS_TOKEN_ALLOCATOR_H_
