// Elects the nodes that read the configuration from the store.

#ifndef OLEANDERTIDE_MESH_READER_ELECTION_H_
#define OLEANDERTIDE_MESH_READER_ELECTION_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "core/time.h"

namespace oleandertide::mesh {

// The store limits calls and charges for bytes, so one node of each data centre
// reads the configuration and distributes it to the others over their links. A
// node without a confirmation for longer than this reads it as well: the reader
// may be dead, disconnected or rejected by the store.
inline constexpr Duration kConfirmationLimit = std::chrono::milliseconds(1200);

struct ReaderCandidate {
  std::string node{};
  // Bandwidth of the instance's link in Mbit/s.
  std::uint32_t link_mbps = 0;
};

// Orders candidates; the first one reads. The highest bandwidth comes first,
// since a configuration of some 300 kB occupies a link of 5 Mbit/s for half a
// second. All nodes compute the same order. Thread-safe.
std::strong_ordering CompareReaders(const ReaderCandidate& first,
                                    const ReaderCandidate& second);

// Whether `self` reads the configuration. `peers` are the nodes of the
// same data centre with an open link. Thread-safe.
bool IsReader(const ReaderCandidate& self,
              std::span<const ReaderCandidate> peers,
              Duration confirmation_age);

// Pause after a read that failed, when `failures` before it failed as well.
// `data_centre_nodes` is the number of known nodes in the data centre and
// `random_fraction` a random number in [0, 1).
//
// Load pattern: while the store is away, all nodes ask it. The pauses of nodes
// other than the reader grow with their number, so that a data centre asks at
// the same rate whatever its size. Thread-safe.
Duration ChooseReadPause(bool is_reader, int failures,
                         std::size_t data_centre_nodes, double random_fraction);

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_READER_ELECTION_H_
