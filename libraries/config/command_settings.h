// Settings of the operators' command.

#ifndef OLEANDERTIDE_CONFIG_COMMAND_SETTINGS_H_
#define OLEANDERTIDE_CONFIG_COMMAND_SETTINGS_H_

#include <string>
#include <string_view>

#include "config/diagnostic.h"
#include "core/address.h"
#include "core/time.h"

namespace oleandertide::config {

// Read-only by convention after Parse. CommandSettings::Describe gives
// meaning, range and default of each member.
struct CommandSettings {
  // [platform]
  struct Platform {
    Address address;
    Duration request_timeout{};
  };

  // [command]
  struct Command {
    // Recorded with each accepted document.
    std::string operator_name;
    Duration resolve_timeout{};
  };

  Platform platform;
  Command command;

  // Reads INI text. Returns all errors at once, or the settings with a value
  // for every member. Thread-safe.
  static Checked<CommandSettings> Parse(std::string_view text,
                                        std::string_view file_name);

  // Describes every setting by section, one a line. Thread-safe.
  static std::string Describe();
};

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_COMMAND_SETTINGS_H_
