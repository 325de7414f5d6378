#include "command/flags.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <utility>

DEFINE_bool(json, false, "print one JSON object instead of text");
DEFINE_string(settings, "", "settings file; flags take precedence over it");
DEFINE_string(platform, "", "IP:port of the platform");
DEFINE_string(operator, "", "name that is recorded with the change");
DEFINE_uint64(base, 0,
              "production's sequence that the draft started from; refused if "
              "production has another one");
DEFINE_string(revive, "",
              "retired names that may return, separated by commas: NAME or "
              "KIND/NAME");
DEFINE_uint64(trial_sequence, 0,
              "sequence of trial to promote; refused if trial has another one");
DEFINE_string(environment, "production", "trial or production");
DEFINE_uint64(limit, 20, "number of records to show, newest first");
DEFINE_string(nodes, "",
              "IP:port of nodes' operators' endpoints to read /status from, "
              "separated by commas");
DEFINE_string(against, "", "file with the version in force, to compare with");
DEFINE_uint64(memory_mb, 0,
              "memory of the smallest node in MB, to check limits of bodies; "
              "0 if it is not known");

namespace oleandertide::command {
namespace {

struct FlagArgument {
  std::string name;
  bool has_value = false;
  std::string value;
};

FlagArgument SplitFlag(std::string_view argument) {
  argument.remove_prefix(argument.starts_with("--") ? 2 : 1);
  const auto equals = argument.find('=');
  if (equals == std::string_view::npos) return {std::string(argument), {}, {}};
  return {std::string(argument.substr(0, equals)), true,
          std::string(argument.substr(equals + 1))};
}

// Returns what is wrong, or an empty text.
std::string SetFlag(const FlagArgument& flag) {
  if (!gflags::SetCommandLineOption(flag.name.c_str(), flag.value.c_str())
           .empty()) {
    return {};
  }
  return "--" + flag.name + ": '" + flag.value + "' is not allowed, expected " +
         gflags::GetCommandLineFlagInfoOrDie(flag.name.c_str()).type;
}

}  // namespace

ParsedArguments ParseArguments(std::span<char* const> arguments,
                               std::span<const std::string_view> allowed) {
  ParsedArguments parsed;
  bool has_flags = true;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string_view argument = arguments[i];
    if (!has_flags || argument.size() < 2 || argument.front() != '-') {
      parsed.positional.emplace_back(argument);
      continue;
    }
    if (argument == "--") {
      has_flags = false;
      continue;
    }
    FlagArgument flag = SplitFlag(argument);
    if (std::find(allowed.begin(), allowed.end(), flag.name) == allowed.end()) {
      parsed.error = "--" + flag.name + ": no such flag here";
      return parsed;
    }
    const auto info = gflags::GetCommandLineFlagInfoOrDie(flag.name.c_str());
    if (!flag.has_value && info.type == "bool") {
      flag.value = "true";
    } else if (!flag.has_value) {
      if (++i == arguments.size()) {
        parsed.error = "--" + flag.name + ": a value is missing";
        return parsed;
      }
      flag.value = arguments[i];
    }
    parsed.error = SetFlag(flag);
    if (!parsed.error.empty()) return parsed;
  }
  return parsed;
}

bool IsGiven(std::string_view flag) {
  return !gflags::GetCommandLineFlagInfoOrDie(std::string(flag).c_str())
              .is_default;
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    if (comma > 0) parts.emplace_back(text.substr(0, comma));
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return parts;
}

std::string DescribeFlags(std::span<const std::string_view> flags) {
  std::string text;
  for (const std::string_view flag : flags) {
    if (flag == "help") continue;  // gflags describes its own help.
    const auto info =
        gflags::GetCommandLineFlagInfoOrDie(std::string(flag).c_str());
    text += "  --" + info.name;
    if (info.type != "bool") text += '=' + info.type;
    text += "  " + info.description;
    const bool has_default = info.type != "bool" &&
                             !info.default_value.empty() &&
                             info.default_value != "0";
    if (has_default) text += " (default " + info.default_value + ")";
    text += '\n';
  }
  return text + "  --help  print this text\n";
}

}  // namespace oleandertide::command
