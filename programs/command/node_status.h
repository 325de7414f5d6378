// Reads the status of nodes.

#ifndef OLEANDERTIDE_COMMAND_NODE_STATUS_H_
#define OLEANDERTIDE_COMMAND_NODE_STATUS_H_

#include <span>
#include <vector>

#include "command/report.h"
#include "core/address.h"

namespace oleandertide::command {

// Sends GET /status to the operators' endpoints of nodes, to several at a time.
// Returns one element for each address, in their order. Thread-safe.
std::vector<NodeStatus> ReadNodeStatuses(std::span<const Address> addresses);

}  // namespace oleandertide::command

#endif  // OLEANDERTIDE_COMMAND_NODE_STATUS_H_
