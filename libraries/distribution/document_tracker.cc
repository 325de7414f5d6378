#include "distribution/document_tracker.h"

#include <algorithm>
#include <iterator>

namespace oleandertide::distribution {

DocumentTracker::OfferOutcome DocumentTracker::Offer(MonotonicTime now,
                                                     const Version& version,
                                                     std::string_view source) {
  const auto pending = pending_.find(version.sequence);
  if (pending != pending_.end()) {
    return pending->second == version.digest ? OfferOutcome::kKnown
                                             : OfferOutcome::kConflict;
  }
  if (version.sequence <= held_.sequence || is_refused(version.sequence)) {
    return OfferOutcome::kKnown;
  }
  const auto [entry, inserted] = candidates_.try_emplace(version.sequence);
  Candidate& candidate = entry->second;
  if (inserted) {
    candidate.digest = version.digest;
    candidate.platform_at = now;
  } else if (candidate.digest != version.digest) {
    return OfferOutcome::kConflict;
  }
  if (source.empty()) {
    candidate.from_platform = true;
  } else if (candidate.sources.size() < kMaximumSources &&
             std::find(candidate.sources.begin(), candidate.sources.end(),
                       source) == candidate.sources.end()) {
    candidate.sources.emplace_back(source);
  }
  if (candidates_.size() > kMaximumCandidates) {
    candidates_.erase(candidates_.begin());
  }
  return inserted ? OfferOutcome::kNew : OfferOutcome::kKnown;
}

std::vector<FetchDocument> DocumentTracker::Start(MonotonicTime now) {
  Expire(now, peer_fetch_);
  Expire(now, platform_fetch_);
  std::vector<FetchDocument> fetches;
  for (auto entry = candidates_.rbegin(); entry != candidates_.rend();
       ++entry) {
    Candidate& candidate = entry->second;
    const Version version{entry->first, candidate.digest};
    if (!candidate.sources.empty() && !peer_fetch_.has_value()) {
      const std::string from = candidate.sources.back();
      candidate.sources.pop_back();
      peer_fetch_ = Running{version.sequence, from, now};
      fetches.push_back(FetchDocument{from, version});
    } else if (candidate.from_platform && !platform_fetch_.has_value() &&
               now >= candidate.platform_at) {
      platform_fetch_ = Running{version.sequence, {}, now};
      fetches.push_back(FetchDocument{{}, version});
    }
  }
  return fetches;
}

bool DocumentTracker::Finish(MonotonicTime now, const Version& version,
                             std::string_view from, DocumentOutcome outcome) {
  std::optional<Running>& running =
      from.empty() ? platform_fetch_ : peer_fetch_;
  if (running.has_value() && running->sequence == version.sequence &&
      running->from == from) {
    running.reset();
  }
  if (outcome == DocumentOutcome::kValid) {
    const bool rose = version.sequence > held_.sequence;
    Hold(version);
    return rose;
  }
  if (outcome == DocumentOutcome::kInvalid) {
    Refuse(version.sequence);
    return false;
  }
  const auto found = candidates_.find(version.sequence);
  if (found == candidates_.end() || !from.empty()) return false;
  if (outcome != DocumentOutcome::kUnavailable) {
    found->second.is_unusable = true;
  }
  Postpone(now, found->second);
  return false;
}

void DocumentTracker::Postpone(MonotonicTime now, Candidate& candidate) {
  candidate.delay = candidate.delay == Duration::zero()
                        ? first_retry_delay_
                        : std::min(candidate.delay * 2, longest_retry_delay_);
  candidate.platform_at = now + candidate.delay;
}

void DocumentTracker::Expire(MonotonicTime now,
                             std::optional<Running>& running) {
  if (!running.has_value() || now - running->since < kFetchTimeout) return;
  const auto found = candidates_.find(running->sequence);
  if (found != candidates_.end() && running->from.empty()) {
    Postpone(now, found->second);
  }
  running.reset();
}

void DocumentTracker::Hold(const Version& version) {
  pending_.try_emplace(version.sequence, version.digest);
  if (pending_.size() > kMaximumPending) pending_.erase(pending_.begin());
  if (version.sequence > held_.sequence) held_ = version;
  candidates_.erase(candidates_.begin(),
                    candidates_.upper_bound(held_.sequence));
}

void DocumentTracker::Refuse(std::uint64_t sequence) {
  candidates_.erase(sequence);
  if (is_refused(sequence)) return;
  if (refused_.size() == kMaximumRefused) refused_.erase(refused_.begin());
  refused_.push_back(sequence);
}

bool DocumentTracker::is_refused(std::uint64_t sequence) const {
  return std::find(refused_.begin(), refused_.end(), sequence) !=
         refused_.end();
}

std::optional<Version> DocumentTracker::BestUpTo(std::uint64_t limit) const {
  const auto after = pending_.upper_bound(limit);
  if (after == pending_.begin()) return {};
  const auto best = std::prev(after);
  return Version{best->first, best->second};
}

void DocumentTracker::DropBelow(std::uint64_t active_sequence) {
  pending_.erase(pending_.begin(), pending_.lower_bound(active_sequence));
}

std::uint64_t DocumentTracker::UsableSequence(
    std::uint64_t row_sequence) const {
  if (row_sequence <= held_.sequence) return row_sequence;
  if (is_refused(row_sequence)) return held_.sequence;
  const auto found = candidates_.find(row_sequence);
  if (found != candidates_.end() && found->second.is_unusable) {
    return held_.sequence;
  }
  return row_sequence;
}

}  // namespace oleandertide::distribution
