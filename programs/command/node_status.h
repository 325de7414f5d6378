// Reads the status of nodes.

#ifndef OLEANDERTIDE_COMMAND_NODE_STATUS_H_
#define OLEANDERTIDE_COMMAND_NODE_STATUS_H_

#include "command/report.h"
#include "config/address.h"

namespace oleandertide::command {

// Sends GET /status to a node's operators' endpoint. Blocks for a few seconds
// at most. Thread-safe.
NodeStatus ReadNodeStatus(const config::Address& address);

}  // namespace oleandertide::command

#endif  // OLEANDERTIDE_COMMAND_NODE_STATUS_H_
