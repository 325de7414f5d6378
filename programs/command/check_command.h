// The subcommand `check`.

#ifndef OLEANDERTIDE_COMMAND_CHECK_COMMAND_H_
#define OLEANDERTIDE_COMMAND_CHECK_COMMAND_H_

#include <span>
#include <string>

#include "command/report.h"

namespace oleandertide::command {

// Checks the file that the argument names and compares it with what --against
// or --platform give. The code of the report is a CheckExitCode or kUsage.
Report RunCheck(std::span<const std::string> arguments);

}  // namespace oleandertide::command

#endif  // OLEANDERTIDE_COMMAND_CHECK_COMMAND_H_
