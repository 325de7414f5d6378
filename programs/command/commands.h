// Subcommands of the operators' command.

#ifndef OLEANDERTIDE_COMMAND_COMMANDS_H_
#define OLEANDERTIDE_COMMAND_COMMANDS_H_

#include <span>
#include <string>
#include <string_view>

#include "command/report.h"

namespace oleandertide::command {

struct Subcommand {
  std::string_view name;
  // Arguments beside the flags, as shown in the usage.
  std::string_view arguments;
  std::string_view summary;
  std::span<const std::string_view> flags;
  std::size_t minimum_arguments;
  std::size_t maximum_arguments;
  Report (*run)(std::span<const std::string> arguments);
  std::string_view exit_codes = kExitCodeHelp;
};

std::span<const Subcommand> Subcommands();

}  // namespace oleandertide::command

#endif  // OLEANDERTIDE_COMMAND_COMMANDS_H_
