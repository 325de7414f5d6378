#include "organisations/token_allocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleandertide::organisations {
namespace {

// Nodes ask every few milliseconds. A bucket that is less deep than the refill
// of some rounds would lose tokens between two of them.
constexpr double kLeastDepthSeconds = 0.05;

// Callers honour a Retry-After only within their deadline; beyond this the
// order of return is of no use.
constexpr Duration kLongestRetryAfter = std::chrono::seconds(1);

// The bucket's part beyond which tokens are granted ahead of demand: they are
// lost if the demand does not come.
constexpr double kSpareShare = 0.5;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double TokenAllocator::Bucket::depth() const {
  return std::max({limit.burst, 1.0, limit.rate * kLeastDepthSeconds});
}

void TokenAllocator::Bucket::Refill(BootTime now) {
  const double added = limit.rate * ToSeconds(now - filled_at);
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
  std::erase_if(buckets_, [&limits](const auto& item) {
    return !limits.contains(item.first);
  });
  for (const auto& [name, limit] : limits) {
    const auto [found, is_new] = buckets_.try_emplace(name);
    Bucket& bucket = found->second;
    if (is_new) {
      bucket.filled_at = now;
    } else if (bucket.limit == limit) {
      continue;
    } else {
      bucket.Refill(now);
    }
    bucket.limit = limit;
    bucket.tokens = std::min(bucket.tokens, bucket.depth());
  }
}

TokenGrant TokenAllocator::Grant(const TokenRequest& request, BootTime now) {
  TokenGrant grant{.sequence = request.sequence};
  grant.items.reserve(request.asks.size());
  for (const TokenRequest::Ask& ask : request.asks) {
    TokenGrant::Item& item = grant.items.emplace_back();
    const auto found = buckets_.find(ask.organisation);
    if (found == buckets_.end()) {
      item.is_unlimited = true;
      continue;
    }
    Bucket& bucket = found->second;
    bucket.Refill(now);
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
