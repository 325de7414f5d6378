#include "mesh/peer_selection.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "core/hash.h"
#include "mesh/reader_election.h"

namespace oleandertide::mesh {
namespace {

struct RankedCandidate {
  std::uint64_t rank;
  const PeerCandidate* candidate;
};

// Selects the `limit` candidates with the lowest ranks that are not failing,
// and the failing ones with ranks between theirs.
void SelectFirst(std::vector<RankedCandidate>& ranked, std::size_t limit,
                 std::set<std::string>& selected) {
  std::ranges::sort(ranked, {}, &RankedCandidate::rank);
  std::size_t healthy_count = 0;
  for (const RankedCandidate& entry : ranked) {
    if (healthy_count == limit) return;
    selected.insert(entry.candidate->name);
    if (!entry.candidate->is_failing) ++healthy_count;
  }
}

}  // namespace

std::vector<std::string> SelectPeers(std::string_view self,
                                     std::string_view data_centre,
                                     std::span<const PeerCandidate> candidates,
                                     const PeerLimits& limits) {
  // Keys: service, and whether the candidate is in this node's data centre.
  std::map<std::pair<std::string_view, bool>, std::vector<RankedCandidate>>
      groups;
  std::vector<const PeerCandidate*> readers;
  const std::uint64_t seed = Hash64(self);
  for (const PeerCandidate& candidate : candidates) {
    if (candidate.name == self) continue;
    const bool is_in_own_data_centre = candidate.data_centre == data_centre;
    groups[{candidate.service, is_in_own_data_centre}].push_back(
        {CombineHashes(seed, Hash64(candidate.name)), &candidate});
    if (is_in_own_data_centre && !candidate.is_failing)
      readers.push_back(&candidate);
  }
  std::set<std::string> selected;
  for (auto& [key, ranked] : groups) {
    SelectFirst(ranked,
                key.second ? limits.own_data_centre_links
                           : limits.other_data_centre_links,
                selected);
  }
  const auto reader = std::ranges::min_element(
      readers, [](const PeerCandidate* first, const PeerCandidate* second) {
        return std::is_lt(CompareReaders({first->name, first->link_mbps},
                                         {second->name, second->link_mbps}));
      });
  if (reader != readers.end()) selected.insert((*reader)->name);
  return {selected.begin(), selected.end()};
}

}  // namespace oleandertide::mesh
