#include "organisations/token_stock.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleandertide::organisations {
namespace {

// Time over which demand is averaged. A standing rate that follows short peaks
// keeps tokens from other nodes until it ends.
constexpr double kDemandSeconds = 3;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::uint32_t TokenStock::Entry::stock(BootTime now) {
  while (!lots.empty() && lots.front().expires_at <= now) lots.pop_front();
  std::uint32_t count = 0;
  for (const Lot& lot : lots) count += lot.count;
  return count;
}

std::optional<BootTime> TokenStock::Entry::Take(BootTime now) {
  if (stock(now) == 0) return std::nullopt;
  Lot& lot = lots.front();
  const BootTime expires_at = lot.expires_at;
  if (--lot.count == 0) lots.pop_front();
  return expires_at;
}

void TokenStock::Entry::Put(Lot lot) {
  const auto place =
      std::ranges::lower_bound(lots, lot.expires_at, {}, &Lot::expires_at);
  if (place != lots.end() && place->expires_at == lot.expires_at) {
    place->count += lot.count;
  } else {
    lots.insert(place, lot);
  }
}

void TokenStock::Entry::CountRequest(BootTime now) {
  const double elapsed = std::max(0.0, ToSeconds(now - last_request));
  demand = demand * std::exp(-elapsed / kDemandSeconds) + 1 / kDemandSeconds;
  last_request = now;
}

void TokenStock::Entry::FillStanding(BootTime now) {
  const BootTime until = std::min(now, standing_until);
  const double gained =
      standing_rate * std::max(0.0, ToSeconds(until - standing_filled_at));
  standing_tokens =
      std::min(std::max(1.0, standing_rate * kStandingDepthSeconds),
               standing_tokens + gained);
  standing_filled_at = std::max(standing_filled_at, now);
  if (now >= standing_until) {
    standing_rate = 0;
    standing_tokens = 0;
  }
}

bool TokenStock::Entry::TakeStanding(BootTime now) {
  if (standing_rate <= 0) return false;
  FillStanding(now);
  if (standing_tokens < 1) return false;
  standing_tokens -= 1;
  return true;
}

bool TokenStock::WantsStanding(const Entry& entry, BootTime now) const {
  if (entry.demand < kLeastStandingRate ||
      now - entry.standing_asked_at < options_.standing_interval) {
    return false;
  }
  return entry.standing_rate <= 0 ||
         entry.standing_until - now < options_.renewal_limit;
}

void TokenStock::EndStandingRate(std::string_view organisation) {
  const auto found = entries_.find(organisation);
  if (found == entries_.end()) return;
  found->second.standing_rate = 0;
  found->second.standing_tokens = 0;
}

std::uint32_t TokenStock::ChooseSpare(Entry& entry, BootTime now) const {
  const auto wanted = static_cast<std::uint32_t>(
      std::min(1e4, entry.demand * ToSeconds(options_.spare_time)));
  const std::uint32_t held = entry.stock(now);
  return wanted > held ? wanted - held : 0;
}

TokenStock::Decision TokenStock::Request(std::string_view organisation,
                                         BootTime now) {
  ForgetIdle(now);
  const auto found = entries_.find(organisation);
  Entry& entry =
      found != entries_.end()
          ? found->second
          : entries_.try_emplace(std::string(organisation)).first->second;
  entry.CountRequest(now);
  if (WantsStanding(entry, now)) to_ask_.emplace(organisation);
  if (entry.TakeStanding(now)) return Admitted{now};
  if (const auto expires_at = entry.Take(now)) {
    if (entry.empty_until <= now && ChooseSpare(entry, now) > 0) {
      to_ask_.emplace(organisation);
    }
    return Admitted{*expires_at};
  }
  if (entry.empty_until > now) {
    return OverLimit{std::max(entry.retry_at, entry.empty_until) - now};
  }
  if (tickets_.size() >= options_.maximum_waiting) return Unavailable{};
  const Ticket ticket = next_ticket_++;
  tickets_.emplace(ticket, Waiter{std::string(organisation), now});
  entry.waiting.insert(ticket);
  to_ask_.emplace(organisation);
  return Waiting{ticket};
}

void TokenStock::Withdraw(Ticket ticket) {
  const auto found = tickets_.find(ticket);
  if (found == tickets_.end()) return;
  entries_.find(found->second.organisation)->second.waiting.erase(ticket);
  tickets_.erase(found);
}

void TokenStock::Refund(std::string_view organisation, BootTime expires_at,
                        BootTime now) {
  const auto found = entries_.find(organisation);
  if (found == entries_.end() || expires_at <= now) return;
  found->second.Put({expires_at, 1});
}

std::optional<TokenRequest> TokenStock::TakeRequest(BootTime now) {
  TokenRequest request;
  for (const std::string& name : std::exchange(to_ask_, {})) {
    const auto found = entries_.find(name);
    if (found == entries_.end()) continue;
    Entry& entry = found->second;
    std::uint32_t asked = 0;
    for (const auto& [sequence, needed] : entry.unanswered) asked += needed;
    const auto waiting = static_cast<std::uint32_t>(entry.waiting.size());
    const std::uint32_t needed = waiting > asked ? waiting - asked : 0;
    // One request for spare tokens at a time.
    const std::uint32_t spare =
        entry.unanswered.empty() ? ChooseSpare(entry, now) : 0;
    const bool wants_standing = WantsStanding(entry, now);
    if (needed == 0 && spare == 0 && !wants_standing) continue;
    request.asks.push_back({.organisation = name,
                            .needed = needed,
                            .spare = spare,
                            .demand = wants_standing ? entry.demand : 0});
    if (wants_standing) entry.standing_asked_at = now;
    entry.unanswered.emplace(next_sequence_, needed);
  }
  if (request.asks.empty()) return std::nullopt;
  request.sequence = next_sequence_++;
  sent_.emplace(request.sequence, Sent{now, request.asks});
  return request;
}

void TokenStock::Forget(std::map<std::uint64_t, Sent>::iterator sent) {
  for (const TokenRequest::Ask& ask : sent->second.asks) {
    const auto entry = entries_.find(ask.organisation);
    if (entry == entries_.end()) continue;
    entry->second.unanswered.erase(sent->first);
    if (!entry->second.waiting.empty()) to_ask_.insert(ask.organisation);
  }
}

void TokenStock::OnNotSent(std::uint64_t sequence) {
  const auto sent = sent_.find(sequence);
  if (sent == sent_.end()) return;
  Forget(sent);
  sent_.erase(sent);
}

std::vector<TokenStock::Settled> TokenStock::OnGrant(const TokenGrant& grant,
                                                     BootTime now) {
  std::vector<Settled> settled;
  // An answer that came twice, late, or to an earlier life of the process.
  const auto found = sent_.find(grant.sequence);
  if (found == sent_.end()) return settled;
  const Sent sent = std::move(found->second);
  sent_.erase(found);
  const BootTime expires_at = sent.at + kTokenLifetime;
  const std::size_t count = std::min(sent.asks.size(), grant.items.size());
  for (std::size_t i = 0; i < count; ++i) {
    const TokenRequest::Ask& ask = sent.asks[i];
    const TokenGrant::Item& item = grant.items[i];
    const auto place = entries_.find(ask.organisation);
    if (place == entries_.end()) continue;
    Entry& entry = place->second;
    entry.unanswered.erase(grant.sequence);
    if (item.tokens > 0 && expires_at > now) {
      entry.Put({expires_at, item.tokens});
    }
    const BootTime standing_until = sent.at + item.standing_for;
    if (item.standing_rate > 0 && standing_until > now) {
      entry.FillStanding(now);
      entry.standing_rate = item.standing_rate;
      entry.standing_until = standing_until;
      entry.standing_filled_at = now;
    }
    const auto settle = [&](const Decision& decision) {
      const Ticket ticket = *entry.waiting.begin();
      settled.push_back({ticket, decision});
      entry.waiting.erase(entry.waiting.begin());
      tickets_.erase(ticket);
    };
    while (!entry.waiting.empty()) {
      const auto taken =
          item.is_unlimited ? std::optional(now) : entry.Take(now);
      if (!taken) break;
      settle(Admitted{*taken});
    }
    if (!item.is_unlimited && item.tokens < ask.needed) {
      entry.empty_until =
          now + std::min(item.until_token, options_.longest_refusal);
      entry.retry_at = now + item.retry_after;
      // Those who came later are covered by a later request.
      for (std::uint32_t refused = item.tokens;
           refused < ask.needed && !entry.waiting.empty(); ++refused) {
        settle(OverLimit{item.retry_after});
      }
    }
    if (!entry.waiting.empty()) to_ask_.insert(ask.organisation);
  }
  return settled;
}

std::vector<TokenStock::Settled> TokenStock::Tick(BootTime now) {
  std::vector<Settled> settled;
  while (!tickets_.empty() &&
         now - tickets_.begin()->second.since >= options_.longest_wait) {
    const Ticket ticket = tickets_.begin()->first;
    Withdraw(ticket);
    settled.push_back({ticket, Unavailable{}});
  }
  for (auto& [sequence, sent] : sent_) {
    if (now - sent.at < options_.answer_limit) break;
    // The answer may still come; the tokens are then used if they are valid.
    for (const TokenRequest::Ask& ask : sent.asks) {
      const auto entry = entries_.find(ask.organisation);
      if (entry == entries_.end()) continue;
      if (entry->second.unanswered.erase(sequence) > 0 &&
          !entry->second.waiting.empty()) {
        to_ask_.insert(ask.organisation);
      }
    }
  }
  while (!sent_.empty() && now - sent_.begin()->second.at >= kTokenLifetime) {
    Forget(sent_.begin());
    sent_.erase(sent_.begin());
  }
  return settled;
}

void TokenStock::ForgetIdle(BootTime now) {
  if (now - swept_at_ < options_.idle_limit) return;
  swept_at_ = now;
  std::erase_if(entries_, [&](const auto& item) {
    return item.second.waiting.empty() &&
           now - item.second.last_request >= options_.idle_limit;
  });
}

}  // namespace oleandertide::organisations
