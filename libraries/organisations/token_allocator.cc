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

// Admissions by rights granted before a window, in seconds of the fill rate:
// see the class.
constexpr double kSecondsBeyondWindow = 0.45;

// Part of the fill rate that may be given away as standing rates. The rest
// serves nodes without one. Usual demand is 1 / 1.6 of the limit.
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

TokenAllocator::TokenAllocator(const Bounds& bounds) : bounds_(bounds) {
  bounds_.window = std::max<Duration>(bounds_.window, std::chrono::seconds(1));
}

double TokenAllocator::Bucket::fill_rate() const {
  const double window = ToSeconds(bounds.window);
  const double requests = limit.rate * window + limit.burst;
  return std::min(requests / window, requests * (1 + bounds.overage) /
                                         (window + kSecondsBeyondWindow));
}

double TokenAllocator::Bucket::depth() const {
  return std::max({limit.burst, 1.0, fill_rate() * kLeastDepthSeconds});
}

double TokenAllocator::Bucket::capacity() const {
  return std::max(1.0, fill_rate() * ToSeconds(bounds.window));
}

void TokenAllocator::Bucket::Refill(BootTime now) {
  // Debts are paid and windows empty after one window.
  filled_at = std::max(filled_at, now - 2 * bounds.window);
  const double rate = std::max(0.0, fill_rate() - reserved);
  while (filled_at < now) {
    granted.Advance(filled_at);
    const BootTime until = std::min(now, granted.slot_end());
    const double seconds = ToSeconds(until - filled_at);
    granted.Advance(until);
    granted.Add(reserved * seconds);
    const double room = std::max(0.0, capacity() - granted.sum());
    tokens = std::min({depth(), tokens + rate * seconds, room});
    filled_at = until;
  }
}

void TokenAllocator::Bucket::Take(std::uint32_t count) {
  tokens -= count;
  granted.Add(count);
}

Duration TokenAllocator::Bucket::TimeFor(double missing) const {
  constexpr double kMicroseconds = 1e6;
  // Keeps the conversion in range for rates close to 0.
  constexpr double kLongest = 3600;
  return Duration(static_cast<std::int64_t>(
      std::min(kLongest, std::max(0.0, missing) / fill_rate()) *
      kMicroseconds));
}

Duration TokenAllocator::Bucket::TimeUntilToken(BootTime now) const {
  const Duration refill = TimeFor(1 - tokens);
  const double excess = granted.sum() + 1 - capacity();
  if (excess <= 0) return refill;
  return std::max(refill, granted.TimeUntilFall(excess, now));
}

void TokenAllocator::Begin(const LimitMap& limits, BootTime now) {
  buckets_.clear();
  SetLimits(limits, now);
  for (auto& [name, bucket] : buckets_) {
    bucket.tokens = -std::max(0.0, bucket.limit.burst - bounds_.slack);
  }
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
    const auto [found, is_new] = buckets_.try_emplace(name, bounds_);
    Bucket& bucket = found->second;
    if (is_new) {
      bucket.filled_at = now;
      // The first request sweeps.
      bucket.swept_at = now - kSweepInterval;
      // Until the first sweep knows of earlier coordinators.
      bucket.limit = limit;
      bucket.reserved = bucket.fill_rate() * kStandingShare;
      continue;
    }
    if (bucket.limit == limit) continue;
    bucket.Refill(now);
    const double capacity = bucket.capacity();
    bucket.limit = limit;
    bucket.tokens = std::min(bucket.tokens, bucket.depth());
    // Otherwise a limit that is lowered to less than what was sent in the last
    // window would refuse all requests for the time of a window.
    bucket.granted.Scale(std::min(1.0, bucket.capacity() / capacity));
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
  reserved = store_now_ms < earlier_until_ms ? fill_rate() * kStandingShare : 0;
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
  const double available = fill_rate() * kStandingShare - (reserved - held);
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
    bucket.Take(item.tokens);
    if (item.tokens < ask.needed) {
      item.until_token = bucket.TimeUntilToken(now);
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
    bucket.Take(spare);
  }
  return grant;
}

}  // namespace oleandertide::organisations
