#include "config/command_settings.h"

#include <span>

#include "config/field.h"
#include "config/settings_reader.h"
#include "config/value.h"

namespace oleandertide::config {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Settings = CommandSettings;

// One row for each setting: section, key, range, meaning, default.
std::span<const Field<Settings>> Fields() {
  static const std::vector<Field<Settings>> fields = {
      {{"platform", "address", AddressRule{}, "address of the platform"},
       Assign<&Settings::platform, &Settings::Platform::address>::To},
      {{"platform", "request-timeout",
        DurationRule{milliseconds(50), minutes(1)},
        "time limit of a request to the platform", "1s"},
       Assign<&Settings::platform, &Settings::Platform::request_timeout>::To},
      {{"command", "operator", TextRule{},
        "name of the operator, recorded with each accepted document"},
       Assign<&Settings::command, &Settings::Command::operator_name>::To},
      {{"command", "resolve-timeout", DurationRule{seconds(1), minutes(5)},
        "time after a lost answer until the outcome counts as unknown", "10s"},
       Assign<&Settings::command, &Settings::Command::resolve_timeout>::To},
  };
  return fields;
}

}  // namespace

Checked<CommandSettings> CommandSettings::Parse(std::string_view text,
                                                std::string_view file_name) {
  return detail::ReadSettings(Fields(), text, file_name);
}

std::string CommandSettings::Describe() { return DescribeFields(Fields()); }

}  // namespace oleandertide::config
