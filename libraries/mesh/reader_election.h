// Which nodes follow the configuration at the store.

#ifndef OLEANDERTIDE_MESH_READER_ELECTION_H_
#define OLEANDERTIDE_MESH_READER_ELECTION_H_

#include <span>
#include <string>
#include <string_view>

#include "core/time.h"

namespace oleandertide::mesh {

// Calls to the store are few and its bytes are priced, so one node of each data
// centre follows the configuration and the others learn of it over their links.
// A node that has had no confirmation for this long follows it as well: the
// reader may be dead, cut off or turned away.
inline constexpr Duration kConfirmationLimit = std::chrono::milliseconds(1200);

// Whether `self` is to follow the configuration. `peers` are the nodes of the
// same data centre with an open link. Thread-safe.
bool IsReader(std::string_view self, std::span<const std::string> peers,
              Duration confirmation_age);

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_READER_ELECTION_H_
