#include "organisations/token_allocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleandertide::organisations {
namespace {

// Nodes ask every few milliseconds. A bucket that is less deep than the refill
// of some rounds would lose tokens between two of them.
constexpr double kLeastDepthSeconds = 0.02;

// Callers honour a Retry-After only within their deadline; beyond this the
// order of return is of no use.
constexpr Duration kLongestRetryAfter = std::chrono::seconds(1);

// The bucket's part beyond which tokens are granted ahead of demand: they are
// lost if the demand does not come.
constexpr double kSpareShare = 0.5;

// Part of the rate that may be given away as standing rates. The rest serves
// nodes without one. Usual demand is 1 / 1.6 of the limit.
constexpr double kStandingShare = 0.75;

// A standing rate falls at most by this factor with a renewal: the one before
// counts until its end anyway, so a lower one leaves tokens unused.
constexpr double kLargestFall = 0.9;

// Standing rates of a removed limit have ended by then.
constexpr Duration kRemovedLimit = std::chrono::seconds(10);

// Ended standing rates are looked for this often.
constexpr Duration kSweepInterval = std::chrono::milliseconds(100);

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double TokenAllocator::Bucket::depth() const {
  return std::max({limit.burst, 1.0, limit.rate * kLeastDepthSeconds});
}

void TokenAllocator::Bucket::Refill(BootTime now) {
  const double rate = std::max(0.0, limit.rate - reserved);
  const double added = rate * ToSeconds(now - filled_at);
  tokens = std::min(depth(), tokens + std::max(0.0, added));
  filled_at = std::max(filled_at, now);
}

Duration TokenAllocator::Bucket::TimeFor(double missing) const {
  constexpr double kMicroseconds = 1e6;
  // Keeps the conversion in range for rates close to 0.
  constexpr double kLongest = 3600;
  return Duration(static_cast<std::int64_t>(
      std::min(kLongest, std::max(0.0, missing) / limit.rate) * kMicroseconds));
}

void TokenAllocator::Begin(const LimitMap& limits, BootTime now) {
  buckets_.clear();
  SetLimits(limits, now);
}

void TokenAllocator::SetLimits(const LimitMap& limits, BootTime now) {
  for (auto& [name, bucket] : buckets_) {
    if (limits.contains(name)) {
      bucket.removed_at.reset();
    } else if (!bucket.removed_at) {
      bucket.removed_at = now;
    }
  }
  std::erase_if(buckets_, [now](const auto& item) {
    return item.second.removed_at &&
           now - *item.second.removed_at >= kRemovedLimit;
  });
  for (const auto& [name, limit] : limits) {
    const auto [found, is_new] = buckets_.try_emplace(name);
    Bucket& bucket = found->second;
    if (is_new) {
      bucket.filled_at = now;
      // The first request sweeps.
      bucket.swept_at = now - kSweepInterval;
      // Until the first sweep knows of earlier coordinators.
      bucket.reserved = limit.rate * kStandingShare;
    } else if (bucket.limit == limit) {
      continue;
    } else {
      bucket.Refill(now);
    }
    bucket.limit = limit;
    bucket.tokens = std::min(bucket.tokens, bucket.depth());
  }
}

void TokenAllocator::Bucket::Sweep(std::uint64_t store_now_ms, BootTime now) {
  swept_at = now;
  std::uint64_t last_end_ms = earlier_until_ms;
  for (const auto& [node, rates] : standing) {
    for (const StandingRate& rate : rates) {
      last_end_ms = std::max(last_end_ms, rate.until_ms);
    }
  }
  if (last_end_ms < store_now_ms) {
    // All ended a while ago: the bucket has been refilled in full since.
    Refill(now - std::chrono::milliseconds(store_now_ms - last_end_ms));
    reserved = 0;
  }
  Refill(now);
  reserved = store_now_ms < earlier_until_ms ? limit.rate * kStandingShare : 0;
  for (auto node = standing.begin(); node != standing.end();) {
    std::erase_if(node->second, [store_now_ms](const StandingRate& rate) {
      return rate.until_ms <= store_now_ms;
    });
    if (node->second.empty()) {
      node = standing.erase(node);
      continue;
    }
    reserved += std::ranges::max(node->second, {}, &StandingRate::rate).rate;
    ++node;
  }
}

void TokenAllocator::Bucket::GrantStanding(TokenGrant::Item& item,
                                           double demand,
                                           const std::string& node,
                                           const Lease& lease) {
  auto& own = standing[node];
  const double held =
      own.empty() ? 0 : std::ranges::max(own, {}, &StandingRate::rate).rate;
  const double available = limit.rate * kStandingShare - (reserved - held);
  const double rate =
      std::min(std::max(demand, held * kLargestFall), available);
  if (rate < kLeastStandingRate || lease.end_ms <= lease.latest_now_ms) {
    if (own.empty()) standing.erase(node);
    return;
  }
  own.push_back({rate, lease.end_ms});
  reserved += std::max(0.0, rate - held);
  item.standing_rate = rate;
  item.standing_for =
      std::chrono::milliseconds(lease.end_ms - lease.latest_now_ms);
}

TokenGrant TokenAllocator::Grant(const TokenRequest& request,
                                 const std::string& node, const Lease& lease,
                                 BootTime now) {
  TokenGrant grant{.sequence = request.sequence};
  grant.items.reserve(request.asks.size());
  for (const TokenRequest::Ask& ask : request.asks) {
    TokenGrant::Item& item = grant.items.emplace_back();
    const auto found = buckets_.find(ask.organisation);
    if (found == buckets_.end() || found->second.removed_at) {
      item.is_unlimited = true;
      continue;
    }
    Bucket& bucket = found->second;
    bucket.earlier_until_ms = lease.earlier_rights_end_ms;
    if (now - bucket.swept_at >= kSweepInterval) {
      bucket.Sweep(lease.now_ms, now);
    }
    bucket.Refill(now);
    if (ask.demand > 0) {
      bucket.GrantStanding(item, ask.demand, node, lease);
    }
    const auto whole = [](double tokens) {
      return static_cast<std::uint32_t>(
          std::clamp(std::floor(tokens), 0.0, 1e6));
    };
    item.tokens = std::min(ask.needed, whole(bucket.tokens));
    bucket.tokens -= item.tokens;
    if (item.tokens < ask.needed) {
      item.until_token = bucket.TimeFor(1 - bucket.tokens);
      // Those who were refused get the coming tokens one after the other, so
      // that they do not come back all at once.
      bucket.spoken_for_until =
          std::max(bucket.spoken_for_until, now + item.until_token) +
          bucket.TimeFor(ask.needed - item.tokens);
      bucket.spoken_for_until =
          std::min(bucket.spoken_for_until, now + kLongestRetryAfter);
      item.retry_after =
          std::max(item.until_token, bucket.spoken_for_until - now);
      continue;
    }
    const std::uint32_t spare = std::min(
        ask.spare, whole(bucket.tokens - bucket.depth() * kSpareShare));
    item.tokens += spare;
    bucket.tokens -= spare;
  }
  return grant;
}

}  // namespace oleandertide::organisations
