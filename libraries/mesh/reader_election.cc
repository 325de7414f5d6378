#include "mesh/reader_election.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "core/hash.h"

namespace oleandertide::mesh {
namespace {

// Pauses of the reader between failed reads. The maximum is a fifth of 2 s, the
// shortest time in which a configuration must be in force at the sites.
constexpr Duration kMinReadPause = std::chrono::milliseconds(100);
constexpr Duration kMaxReadPause = std::chrono::milliseconds(400);
// Other nodes pause up to this many times as long for each node of the data
// centre, so that some node still asks within the reader's pause.
constexpr double kPauseFactorPerNode = 1.0 / 3;
constexpr double kMinPauseFactor = 4;
// Known nodes need not be alive.
constexpr double kMaxPauseFactor = 16;

}  // namespace

std::strong_ordering CompareReaders(const ReaderCandidate& first,
                                    const ReaderCandidate& second) {
  if (first.link_mbps != second.link_mbps) {
    return second.link_mbps <=> first.link_mbps;
  }
  const auto by_hash = Hash64(first.node) <=> Hash64(second.node);
  return std::is_neq(by_hash) ? by_hash : first.node <=> second.node;
}

Duration ChooseReadPause(bool is_reader, int failures,
                         std::size_t data_centre_nodes,
                         double random_fraction) {
  const double max_factor =
      std::clamp(static_cast<double>(data_centre_nodes) * kPauseFactorPerNode,
                 kMinPauseFactor, kMaxPauseFactor);
  const double factor =
      is_reader ? 1 : std::min(std::exp2(failures), max_factor);
  const auto pause_range_us =
      static_cast<double>((kMaxReadPause - kMinReadPause).count());
  const double pause_us = static_cast<double>(kMinReadPause.count()) +
                          pause_range_us * random_fraction;
  return Duration(static_cast<std::int64_t>(pause_us * factor));
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
