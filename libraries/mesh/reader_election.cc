#include "mesh/reader_election.h"

#include <algorithm>

#include "core/hash.h"

namespace oleandertide::mesh {

std::strong_ordering CompareReaders(const ReaderCandidate& first,
                                    const ReaderCandidate& second) {
  if (first.link_mbps != second.link_mbps) {
    return second.link_mbps <=> first.link_mbps;
  }
  const auto by_hash = Hash64(first.node) <=> Hash64(second.node);
  return std::is_neq(by_hash) ? by_hash : first.node <=> second.node;
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
