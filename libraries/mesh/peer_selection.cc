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

struct Ranked {
  std::uint64_t rank;
  const PeerCandidate* candidate;
};

// Takes the first `limit` candidates that are not failing, and the failing ones
// that rank among them.
void TakeFirst(std::vector<Ranked>& ranked, std::size_t limit,
               std::set<std::string>& selected) {
  std::ranges::sort(ranked, {}, &Ranked::rank);
  std::size_t taken = 0;
  for (const Ranked& entry : ranked) {
    if (taken == limit) return;
    selected.insert(entry.candidate->name);
    if (!entry.candidate->is_failing) ++taken;
  }
}

}  // namespace

std::vector<std::string> SelectPeers(std::string_view self,
                                     std::string_view data_centre,
                                     std::span<const PeerCandidate> candidates,
                                     const PeerLimits& limits) {
  // By service, and whether in the own data centre.
  std::map<std::pair<std::string_view, bool>, std::vector<Ranked>> groups;
  std::vector<const PeerCandidate*> readers;
  const std::uint64_t seed = Hash64(self);
  for (const PeerCandidate& candidate : candidates) {
    if (candidate.name == self) continue;
    const bool is_own = candidate.data_centre == data_centre;
    groups[{candidate.service, is_own}].push_back(
        {CombineHashes(seed, Hash64(candidate.name)), &candidate});
    if (is_own && !candidate.is_failing) readers.push_back(&candidate);
  }
  std::set<std::string> selected;
  for (auto& [key, ranked] : groups) {
    TakeFirst(ranked,
              key.second ? limits.own_data_centre : limits.other_data_centres,
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
