// Which other nodes a node keeps links to.

#ifndef OLEANDERTIDE_MESH_PEER_SELECTION_H_
#define OLEANDERTIDE_MESH_PEER_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oleandertide::mesh {

// A node that may be linked.
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
  // Links for each service within the data centre, and beyond it. A node places
  // well by a dozen choices; more would cost status messages that grow with the
  // square of the fleet.
  std::size_t own_data_centre_links = 10;
  std::size_t other_data_centre_links = 6;
};

// Returns the names of the nodes to keep links to: for each service, those that
// rank highest by rendezvous hashing, so that each node is chosen by about
// equally many, and the first of the data centre by the order in which nodes
// read the store. Failing nodes are returned beside as many others that are
// not, so that they are tried again and missed by nobody. Thread-safe.
std::vector<std::string> SelectPeers(std::string_view self,
                                     std::string_view data_centre,
                                     std::span<const PeerCandidate> candidates,
                                     const PeerLimits& limits);

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_PEER_SELECTION_H_
