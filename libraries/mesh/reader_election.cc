#include "mesh/reader_election.h"

#include <algorithm>
#include <cstdint>

#include "core/hash.h"

namespace oleandertide::mesh {
namespace {

// Pauses of the reader between failed reads. The maximum is a fifth of 2 s, the
// shortest time in which a configuration must be in force at the sites.
constexpr Duration kMinReadPause = std::chrono::milliseconds(100);
constexpr Duration kMaxReadPause = std::chrono::milliseconds(400);
// Other nodes pause up to four times as long. Of a dozen nodes that poll the
// store, one still does so within the reader's pause.
constexpr int kMaxPauseDoublings = 2;

}  // namespace

std::strong_ordering CompareReaders(const ReaderCandidate& first,
                                    const ReaderCandidate& second) {
  if (first.link_mbps != second.link_mbps) {
    return second.link_mbps <=> first.link_mbps;
  }
  const auto by_hash = Hash64(first.node) <=> Hash64(second.node);
  return std::is_neq(by_hash) ? by_hash : first.node <=> second.node;
}

Duration ChooseReadPause(bool is_reader, int failures, double random_fraction) {
  const int doublings = is_reader ? 0 : std::min(failures, kMaxPauseDoublings);
  const auto pause_range_us =
      static_cast<double>((kMaxReadPause - kMinReadPause).count());
  return (kMinReadPause + Duration(static_cast<std::int64_t>(
                              pause_range_us * random_fraction))) *
         (1 << doublings);
}

bool IsReader(const ReaderCandidate& self,
              std::span<const ReaderCandidate> peers,
              Duration confirmation_age) {
  if (confirmation_age > kConfirmationLimit) return true;
  return std::ranges::all_of(peers, [&](const ReaderCandidate& peer) {
    return std::is_lt(CompareReaders(self, peer));
  });
}

}  // namespace oleandertide::mesh
