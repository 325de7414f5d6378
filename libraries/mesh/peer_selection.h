// Selects the nodes to which a node keeps links.

#ifndef OLEANDERTIDE_MESH_PEER_SELECTION_H_
#define OLEANDERTIDE_MESH_PEER_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oleandertide::mesh {

// A node to which a link may be kept.
struct PeerCandidate {
  std::string name{};
  std::string data_centre{};
  // Service of the instance.
  std::string service{};
  // Bandwidth of the instance's link in Mbit/s.
  std::uint32_t link_mbps = 0;
  // The last attempt to reach it failed.
  bool is_failing = false;
};

struct PeerLimits {
  // Number of links per service to nodes of the own and of other data centres.
  // About a dozen candidates suffice to place requests well. The number of
  // status messages would grow with the square of the fleet's size with more.
  std::size_t own_data_centre_links = 10;
  std::size_t other_data_centre_links = 6;
};

// Returns the names of the nodes to keep links to. For each service these are
// the first by rendezvous hashing, which has about equally many nodes choose
// each one. The data centre's first candidate in the order of CompareReaders is
// added. Failing nodes do not count against the limits: they are retried, and
// other nodes take their places meanwhile. Thread-safe.
std::vector<std::string> SelectPeers(std::string_view self,
                                     std::string_view data_centre,
                                     std::span<const PeerCandidate> candidates,
                                     const PeerLimits& limits);

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_PEER_SELECTION_H_
