// Exit codes of the operators' command. They are stable: scripts rely on them.

#ifndef OLEANDERTIDE_COMMAND_EXIT_CODE_H_
#define OLEANDERTIDE_COMMAND_EXIT_CODE_H_

#include <string_view>
#include <system_error>

#include "core/error.h"

namespace oleandertide::command {

enum class ExitCode {
  kSuccess = 0,
  // Another change won, or the document names retired items.
  kRefused = 1,
  // A document or a settings file is invalid.
  kInvalidInput = 2,
  // The platform did not answer or limits the rate; nothing was accepted.
  kUnavailable = 3,
  // What was asked for does not exist.
  kNotFound = 4,
  // The change may or may not have been accepted.
  kOutcomeUnknown = 5,
  // A row or document on the platform is damaged or missing; nothing was
  // accepted.
  kDataDamaged = 6,
  // The command line is wrong (EX_USAGE of sysexits.h).
  kUsage = 64,
};

inline constexpr std::string_view kExitCodeHelp =
    "Exit codes:\n"
    "  0   success\n"
    "  1   refused: another change won, or a retired name is not revived\n"
    "  2   invalid document or settings\n"
    "  3   platform unavailable; nothing was accepted\n"
    "  4   not found\n"
    "  5   outcome unknown: the change may or may not have been accepted\n"
    "  6   damaged data on the platform; nothing was accepted\n"
    "  64  wrong usage\n";

// Exit codes of `check`, which never changes anything. Usage errors have
// kUsage, as everywhere.
enum class CheckExitCode {
  kClean = 0,
  kWarnings = 1,
  kErrors = 2,
  // A file cannot be read or the store cannot be reached.
  kUnreadable = 3,
};

inline constexpr std::string_view kCheckExitCodeHelp =
    "Exit codes:\n"
    "  0   no errors or warnings\n"
    "  1   warnings, no errors\n"
    "  2   errors: the nodes would reject the document\n"
    "  3   a file cannot be read or the store cannot be reached\n"
    "  64  wrong usage\n";

// Maps an error of acceptance or of the platform.
inline ExitCode ToExitCode(std::error_code error) {
  if (error == Error::kNotFound) return ExitCode::kNotFound;
  if (error == Error::kInvalidArgument || error == Error::kTooLarge) {
    return ExitCode::kInvalidInput;
  }
  if (error == Error::kDataDamaged) return ExitCode::kDataDamaged;
  if (error == Error::kOutcomeUnknown) return ExitCode::kOutcomeUnknown;
  return ExitCode::kUnavailable;
}

}  // namespace oleandertide::command

#endif  // OLEANDERTIDE_COMMAND_EXIT_CODE_H_
