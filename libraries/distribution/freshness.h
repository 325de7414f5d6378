// Age of the last confirmation and signs of life of other nodes.

#ifndef OLEANDERTIDE_DISTRIBUTION_FRESHNESS_H_
#define OLEANDERTIDE_DISTRIBUTION_FRESHNESS_H_

#include <absl/container/btree_map.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "distribution/messages.h"

namespace oleandertide::distribution {

// What the node may serve; see the design page, 4.5.
enum class Standing : std::uint8_t {
  kStarting = 0,
  kConfirmed = 1,
  kPlatformDown = 2,
  kRegionCut = 3,
  kIsolated = 4,
};

// Returns a stable lower-case name for logs and status pages.
std::string_view ToString(Standing standing);

// All times are conservative: an age from a reply is added to the time at which
// the request was sent, so a message that waited in a socket buffer cannot
// look fresh. Not thread-safe.
class Freshness {
 public:
  // Most peers and data centres for which times are kept.
  static constexpr std::size_t kMaximumEntries = 8192;

  // A read that began at `read_at` showed these sequences.
  void Confirm(MonotonicTime read_at, std::uint64_t row_sequence,
               std::uint64_t usable_sequence, std::uint64_t active_sequence);
  // Applies the latest confirmation to a newly active sequence.
  void SetActive(std::uint64_t active_sequence);

  // A reply arrived from `address` to a request sent at `sent_at`.
  void HearPeer(MonotonicTime sent_at, std::string_view address);
  void HearDataCentre(MonotonicTime at, std::string_view data_centre);

  // Drops all confirmations and signs of life, after a pause.
  void Void();

  // Start of the latest read that confirmed the active sequence.
  std::optional<MonotonicTime> confirmed_at() const { return confirmed_at_; }
  std::optional<MonotonicTime> HeardPeerAt(std::string_view address) const;
  std::optional<MonotonicTime> HeardDataCentreAt(
      std::string_view data_centre) const;

  // The latest confirmation with its age at `now`, to pass on.
  std::optional<Confirmation> Latest(MonotonicTime now) const;
  std::vector<HeardEntry> HeardEntries(MonotonicTime now,
                                       std::string_view own_data_centre) const;

 private:
  struct Read {
    MonotonicTime at;
    std::uint64_t row_sequence = 0;
    std::uint64_t usable_sequence = 0;
  };

  std::optional<Read> latest_;
  std::optional<MonotonicTime> confirmed_at_;
  absl::btree_map<std::string, MonotonicTime, std::less<>> peers_;
  absl::btree_map<std::string, MonotonicTime, std::less<>> data_centres_;
};

}  // namespace oleandertide::distribution

#endif  // OLEANDERTIDE_DISTRIBUTION_FRESHNESS_H_
