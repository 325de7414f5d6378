#include "distribution/commit_counter.h"

#include <algorithm>
#include <functional>

namespace oleandertide::distribution {
namespace {

std::size_t Majority(std::size_t members) { return members / 2 + 1; }

}  // namespace

void CommitCounter::Report(std::string_view address, std::uint64_t life,
                           std::uint64_t sequence) {
  const auto found = holders_.find(address);
  if (found == holders_.end()) {
    if (holders_.size() >= kMaximumHolders) return;
    holders_.emplace(std::string(address), Holder{life, sequence});
    return;
  }
  if (found->second.life != life) {
    found->second = Holder{life, sequence};
    return;
  }
  found->second.sequence = std::max(found->second.sequence, sequence);
}

void CommitCounter::Forget(std::string_view address) {
  const auto found = holders_.find(address);
  if (found != holders_.end()) holders_.erase(found);
}

bool CommitCounter::Begin(MonotonicTime now, std::uint64_t own_sequence,
                          std::uint64_t committed, std::size_t members,
                          Duration limit) {
  if (candidate_.has_value() && now - candidate_since_ < limit) return false;
  candidate_.reset();
  std::vector<std::uint64_t> sequences;
  if (own_sequence > committed) sequences.push_back(own_sequence);
  for (const auto& [address, holder] : holders_) {
    if (holder.sequence > committed) sequences.push_back(holder.sequence);
  }
  const std::size_t needed = Majority(members);
  if (sequences.size() < needed) return false;
  const auto decisive =
      sequences.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(sequences.begin(), decisive, sequences.end(),
                   std::greater<>());
  candidate_ = *decisive;
  candidate_since_ = now;
  verifications_.clear();
  verified_ = 0;
  for (const auto& [address, holder] : holders_) {
    if (holder.sequence >= *candidate_) {
      verifications_.emplace(address, Verification{holder.life, false});
    }
  }
  return true;
}

std::vector<std::string> CommitCounter::Questioned() const {
  std::vector<std::string> addresses;
  if (!candidate_.has_value()) return addresses;
  for (const auto& [address, verification] : verifications_) {
    addresses.push_back(address);
  }
  return addresses;
}

std::optional<std::uint64_t> CommitCounter::Verify(
    std::string_view address, std::uint64_t life, std::uint64_t sequence,
    MonotonicTime asked_at, std::uint64_t own_sequence, std::size_t members) {
  if (!candidate_.has_value() || asked_at < candidate_since_) return {};
  const auto found = verifications_.find(address);
  if (found != verifications_.end() && !found->second.verified &&
      found->second.life == life && sequence >= *candidate_) {
    found->second.verified = true;
    ++verified_;
  }
  return Decide(own_sequence, members);
}

std::optional<std::uint64_t> CommitCounter::Decide(std::uint64_t own_sequence,
                                                   std::size_t members) {
  const std::size_t own = own_sequence >= *candidate_ ? 1 : 0;
  if (verified_ + own < Majority(members)) return {};
  const std::uint64_t committed = *candidate_;
  candidate_.reset();
  return committed;
}

}  // namespace oleandertide::distribution
