// Command by which operators change and inspect the configuration.

#include <algorithm>
#include <span>
#include <string>
#include <string_view>

#include "command/commands.h"
#include "command/flags.h"
#include "command/report.h"

namespace oleandertide::command {
namespace {

std::string UsageLine(const Subcommand& subcommand) {
  std::string line = "oleandertide " + std::string(subcommand.name);
  if (!subcommand.arguments.empty()) {
    line += ' ' + std::string(subcommand.arguments);
  }
  return line;
}

Report HelpOf(const Subcommand& subcommand) {
  const std::string text = "Usage: " + UsageLine(subcommand) + " [FLAGS]\n\n" +
                           std::string(subcommand.summary) + "\n\nFlags:\n" +
                           DescribeFlags(subcommand.flags) + '\n' +
                           std::string(subcommand.exit_codes);
  return {ExitCode::kSuccess, text, {}};
}

Report GeneralHelp() {
  std::string text = "Usage: oleandertide SUBCOMMAND [FLAGS]\n\n";
  for (const Subcommand& subcommand : Subcommands()) {
    text += "  " + UsageLine(subcommand) + "\n      " +
            std::string(subcommand.summary) + '\n';
  }
  text +=
      "\nEach subcommand has --help. `check` has exit codes of its own.\n\n" +
      std::string(kExitCodeHelp);
  return {ExitCode::kSuccess, text, {}};
}

Report RunSubcommand(const Subcommand& subcommand,
                     std::span<char* const> arguments) {
  const ParsedArguments parsed = ParseArguments(arguments, subcommand.flags);
  if (!parsed.error.empty()) return ReportUsage(parsed.error);
  if (FLAGS_help) {
    FLAGS_json = false;
    return HelpOf(subcommand);
  }
  const std::size_t count = parsed.positional.size();
  if (count < subcommand.minimum_arguments ||
      count > subcommand.maximum_arguments) {
    return ReportUsage("usage: " + UsageLine(subcommand));
  }
  return subcommand.run(parsed.positional);
}

Report Run(std::span<char* const> arguments) {
  if (arguments.empty()) return ReportUsage("a subcommand is missing");
  const std::string_view name = arguments.front();
  if (name == "--help" || name == "-help" || name == "help") {
    return GeneralHelp();
  }
  const auto subcommands = Subcommands();
  const auto found = std::find_if(
      subcommands.begin(), subcommands.end(),
      [name](const Subcommand& subcommand) { return subcommand.name == name; });
  if (found == subcommands.end()) {
    return ReportUsage("'" + std::string(name) + "' is not a subcommand");
  }
  return RunSubcommand(*found, arguments.subspan(1));
}

}  // namespace
}  // namespace oleandertide::command

int main(int argument_count, char** arguments) {
  using oleandertide::command::Report;
  const std::span<char* const> all(arguments,
                                   static_cast<std::size_t>(argument_count));
  const Report report =
      oleandertide::command::Run(all.subspan(all.empty() ? 0 : 1));
  return oleandertide::command::Print(report, FLAGS_json);
}
