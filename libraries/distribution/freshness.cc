#include "distribution/freshness.h"

#include <algorithm>
#include <limits>

namespace oleandertide::distribution {
namespace {

std::uint32_t AgeMilliseconds(MonotonicTime now, MonotonicTime at) {
  constexpr std::int64_t kLimit = std::numeric_limits<std::uint32_t>::max();
  // Rounded up, so that an age never shrinks on its way.
  const std::int64_t age = ToMilliseconds(now - at) + 1;
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, kLimit));
}

void KeepLatest(absl::btree_map<std::string, MonotonicTime, std::less<>>& times,
                std::string_view key, MonotonicTime at) {
  const auto found = times.find(key);
  if (found != times.end()) {
    found->second = std::max(found->second, at);
  } else if (times.size() < Freshness::kMaximumEntries) {
    times.emplace(std::string(key), at);
  }
}

std::optional<MonotonicTime> Lookup(
    const absl::btree_map<std::string, MonotonicTime, std::less<>>& times,
    std::string_view key) {
  const auto found = times.find(key);
  if (found == times.end()) return {};
  return found->second;
}

}  // namespace

std::string_view ToString(Standing standing) {
  switch (standing) {
    case Standing::kStarting:
      return "starting";
    case Standing::kConfirmed:
      return "confirmed";
    case Standing::kPlatformDown:
      return "platform-down";
    case Standing::kRegionCut:
      return "region-cut";
    case Standing::kIsolated:
      return "isolated";
  }
  return "unknown";
}

void Freshness::Confirm(MonotonicTime read_at, std::uint64_t row_sequence,
                        std::uint64_t usable_sequence,
                        std::uint64_t active_sequence) {
  if (!latest_.has_value() || read_at > latest_->at) {
    latest_ = Read{read_at, row_sequence, usable_sequence};
  }
  if (active_sequence >= usable_sequence) {
    confirmed_at_ = std::max(confirmed_at_.value_or(read_at), read_at);
  }
}

void Freshness::SetActive(std::uint64_t active_sequence) {
  if (latest_.has_value() && active_sequence >= latest_->usable_sequence) {
    confirmed_at_ = std::max(confirmed_at_.value_or(latest_->at), latest_->at);
  }
}

void Freshness::HearPeer(MonotonicTime sent_at, std::string_view address) {
  KeepLatest(peers_, address, sent_at);
}

void Freshness::HearDataCentre(MonotonicTime at, std::string_view data_centre) {
  KeepLatest(data_centres_, data_centre, at);
}

void Freshness::Void() {
  latest_.reset();
  confirmed_at_.reset();
  peers_.clear();
  data_centres_.clear();
}

std::optional<MonotonicTime> Freshness::HeardPeerAt(
    std::string_view address) const {
  return Lookup(peers_, address);
}

std::optional<MonotonicTime> Freshness::HeardDataCentreAt(
    std::string_view data_centre) const {
  return Lookup(data_centres_, data_centre);
}

std::optional<Confirmation> Freshness::Latest(MonotonicTime now) const {
  if (!latest_.has_value()) return {};
  return Confirmation{latest_->row_sequence, latest_->usable_sequence,
                      AgeMilliseconds(now, latest_->at)};
}

std::vector<HeardEntry> Freshness::HeardEntries(
    MonotonicTime now, std::string_view own_data_centre) const {
  std::vector<HeardEntry> entries;
  for (const auto& [data_centre, at] : data_centres_) {
    if (data_centre == own_data_centre) continue;
    if (entries.size() == kMaximumHeardEntries) break;
    entries.push_back(HeardEntry{data_centre, AgeMilliseconds(now, at)});
  }
  return entries;
}

}  // namespace oleandertide::distribution
