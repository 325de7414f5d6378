// Versions that are held, known or refused by one node.

#ifndef OLEANDERTIDE_DISTRIBUTION_DOCUMENT_TRACKER_H_
#define OLEANDERTIDE_DISTRIBUTION_DOCUMENT_TRACKER_H_

#include <absl/container/btree_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "distribution/effects.h"
#include "distribution/messages.h"

namespace oleandertide::distribution {

// Result of one fetch.
enum class DocumentOutcome : std::uint8_t {
  kValid,        // digest, format and content are in order
  kInvalid,      // the digest matches but the content does not validate
  kDamaged,      // the bytes do not match the digest
  kMissing,      // the source has no such object
  kUnavailable,  // the source did not answer
};

// Chooses what to fetch from where. At most one fetch from a peer and one from
// the platform run at a time, so a slow platform does not hold back peers. Not
// thread-safe.
class DocumentTracker {
 public:
  enum class OfferOutcome { kNew, kKnown, kConflict };

  // Versions above the held one that are remembered, and sources of each.
  static constexpr std::size_t kMaximumCandidates = 8;
  static constexpr std::size_t kMaximumSources = 4;
  // Held versions that are not yet in force.
  static constexpr std::size_t kMaximumPending = 8;
  static constexpr std::size_t kMaximumRefused = 32;
  // A fetch without a result is given up after this time.
  static constexpr Duration kFetchTimeout = std::chrono::seconds(10);

  DocumentTracker(Duration first_retry_delay, Duration longest_retry_delay)
      : first_retry_delay_(first_retry_delay),
        longest_retry_delay_(longest_retry_delay) {}

  // Notes that `source` (a peer; empty for the platform) has a version.
  OfferOutcome Offer(MonotonicTime now, const Version& version,
                     std::string_view source);

  // Returns the fetches to start now, highest versions first.
  std::vector<FetchDocument> Start(MonotonicTime now);

  // Notes the result of a fetch. Returns true if the held version rose.
  bool Finish(MonotonicTime now, const Version& version, std::string_view from,
              DocumentOutcome outcome);

  // Highest version held; sequence 0 if none.
  const Version& held() const { return held_; }

  // Highest held version with a sequence of at most `limit`, or nothing.
  std::optional<Version> BestUpTo(std::uint64_t limit) const;

  // Drops held versions below the active one.
  void DropBelow(std::uint64_t active_sequence);

  // Highest sequence up to `row_sequence` whose document is not known to be
  // unusable.
  std::uint64_t UsableSequence(std::uint64_t row_sequence) const;

 private:
  struct Candidate {
    std::string digest;
    std::vector<std::string> sources;
    bool from_platform = false;
    bool is_unusable = false;  // missing or damaged at the platform
    MonotonicTime platform_at;
    Duration delay{};
  };
  struct Running {
    std::uint64_t sequence = 0;
    std::string from;
    MonotonicTime since;
  };

  bool is_refused(std::uint64_t sequence) const;
  void Refuse(std::uint64_t sequence);
  void Hold(const Version& version);
  void Expire(MonotonicTime now, std::optional<Running>& running);
  void Postpone(MonotonicTime now, Candidate& candidate);

  Duration first_retry_delay_;
  Duration longest_retry_delay_;
  Version held_;
  absl::btree_map<std::uint64_t, std::string> pending_;
  absl::btree_map<std::uint64_t, Candidate> candidates_;
  std::vector<std::uint64_t> refused_;
  std::optional<Running> peer_fetch_;
  std::optional<Running> platform_fetch_;
};

}  // namespace oleandertide::distribution

#endif  // OLEANDERTIDE_DISTRIBUTION_DOCUMENT_TRACKER_H_
