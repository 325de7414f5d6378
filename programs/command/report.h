// What a subcommand prints and with which exit code it ends.

#ifndef OLEANDERTIDE_COMMAND_REPORT_H_
#define OLEANDERTIDE_COMMAND_REPORT_H_

#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "acceptance/acceptance.h"
#include "command/exit_code.h"
#include "config/diagnostic.h"

namespace oleandertide::command {

struct Report {
  ExitCode code = ExitCode::kSuccess;
  // For people; ends with a line break.
  std::string text;
  // One object with at least the member "outcome".
  std::string json;
  // Whether the text is what was asked for although the code is not success.
  bool is_result = false;
};

// Prints the text or the JSON: text to standard output on success, otherwise
// to standard error; JSON always to standard output. Returns the exit code.
int Print(const Report& report, bool as_json);

// Reports of what went wrong. `what` says what could not be done.
Report ReportUsage(std::string_view problem);
Report ReportInvalid(const config::Diagnostics& diagnostics);
Report ReportInvalidFile(std::string_view file, std::string_view problem);
Report ReportError(std::string_view what, std::error_code error);

// Reports the outcome of a submission or promotion.
Report ReportOutcome(const acceptance::Outcome& outcome);

Report ReportValid(std::size_t services, std::size_t routes, std::size_t jobs);
Report ReportDifference(std::string_view from, std::string_view to,
                        std::string_view difference);
Report ReportHistory(std::string_view environment,
                     std::span<const acceptance::EnvironmentRecord> records);

// Answer of a node's operators' endpoint.
struct NodeStatus {
  std::string address;
  bool is_reachable = false;
  // JSON object; empty if the node was not reachable or sent something else.
  std::string body;
};

// Records are unset for environments in which nothing was accepted.
Report ReportStatus(
    const std::optional<acceptance::EnvironmentRecord>& trial,
    const std::optional<acceptance::EnvironmentRecord>& production,
    std::span<const NodeStatus> nodes);

}  // namespace oleandertide::command

#endif  // OLEANDERTIDE_COMMAND_REPORT_H_
