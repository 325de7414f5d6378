// Flags of the operators' command.

#ifndef OLEANDERTIDE_COMMAND_FLAGS_H_
#define OLEANDERTIDE_COMMAND_FLAGS_H_

#include <gflags/gflags_declare.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

DECLARE_bool(help);
DECLARE_bool(json);
DECLARE_string(settings);
DECLARE_string(platform);
DECLARE_string(operator);
DECLARE_uint64(base);
DECLARE_string(revive);
DECLARE_uint64(trial_sequence);
DECLARE_string(environment);
DECLARE_uint64(limit);
DECLARE_string(nodes);
DECLARE_string(against);
DECLARE_uint64(memory_mb);

namespace oleandertide::command {

struct ParsedArguments {
  // Arguments that are no flags.
  std::vector<std::string> positional;
  // What is wrong with the command line; empty if nothing is.
  std::string error;
};

// Sets the flags that the arguments name. Only the flags in `allowed` may be
// given. Unlike the parser of gflags it returns errors instead of ending the
// process with exit code 1, which stands for a refusal here.
ParsedArguments ParseArguments(std::span<char* const> arguments,
                               std::span<const std::string_view> allowed);

// Whether the command line gave the flag. Precondition: the flag exists.
bool IsGiven(std::string_view flag);

// Splits at commas and leaves out empty parts.
std::vector<std::string> SplitList(std::string_view text);

// Describes the flags, one a line, with --help at the end.
std::string DescribeFlags(std::span<const std::string_view> flags);

}  // namespace oleandertide::command

#endif  // OLEANDERTIDE_COMMAND_FLAGS_H_
