#include "mesh/reader_election.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace oleandertide::mesh {

bool IsReader(std::string_view self, std::span<const std::string> peers,
              Duration confirmation_age) {
  if (confirmation_age > kConfirmationLimit) return true;
  // Rendezvous hashing: nodes that see the same peers agree.
  const auto rank = [](std::string_view node) {
    return std::pair(Hash64(node), node);
  };
  return std::ranges::all_of(
      peers, [&](const std::string& peer) { return rank(self) < rank(peer); });
}

}  // namespace oleandertide::mesh
