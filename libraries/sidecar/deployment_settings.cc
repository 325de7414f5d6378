#include "sidecar/deployment_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "config/field.h"
#include "platform/deployment_codec.h"

namespace oleandertide::sidecar {
namespace {

constexpr std::string_view kRulesVariable = "OLEANDERTIDE_RULES";
constexpr std::string_view kBoundsVariable = "OLEANDERTIDE_BOUNDS";

constexpr std::size_t kMaxShownBytes = 80;

// Where a bound was given, for diagnostics.
struct BoundSource {
  std::string_view name;
  std::size_t line = 1;
};

struct Bounds {
  std::vector<platform::NamedBound> values;
  // As many as `values`.
  std::vector<BoundSource> sources;

  void Add(std::string_view name, std::string_view value, BoundSource source) {
    if (config::IsNoValue(value)) return;
    values.push_back({.name = name, .value = value});
    sources.push_back(source);
  }
};

// Returns the value of a variable, empty if it has none.
std::string_view FindValue(const config::Environment& environment,
                           std::string_view variable) {
  const std::string_view value = environment.Find(variable).value_or("");
  return config::IsNoValue(value) ? std::string_view() : value;
}

// Returns the elements of a comma list that are not empty.
std::vector<std::string_view> SplitList(std::string_view list) {
  std::vector<std::string_view> items;
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(','), list.size());
    if (end > 0) items.push_back(list.substr(0, end));
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return items;
}

std::vector<platform::NamedRule> ReadRules(
    std::span<const config::IniEntry> entries,
    const config::Environment& environment) {
  std::vector<platform::NamedRule> rules;
  const auto names = SplitList(FindValue(environment, kRulesVariable));
  rules.reserve(names.size());
  for (const std::string_view name : names) {
    rules.push_back({.name = name, .is_in_force = true});
  }
  if (!rules.empty()) return rules;
  for (const config::IniEntry& entry : entries) {
    if (config::IsNoValue(entry.value)) continue;
    rules.push_back({.name = entry.key, .is_in_force = entry.value == "true"});
  }
  return rules;
}

Bounds ReadBounds(std::span<const config::IniEntry> entries,
                  const config::Environment& environment,
                  config::DiagnosticList& ignored) {
  Bounds bounds;
  for (const config::IniEntry& entry : entries) {
    bounds.Add(entry.key, entry.value, {"[bounds]", entry.line});
  }
  // Of bounds with the same name, the last one that can be used holds.
  const auto items = SplitList(FindValue(environment, kBoundsVariable));
  for (const std::string_view item : items) {
    const std::size_t separator = item.find('=');
    if (separator == std::string_view::npos) {
      ignored.Add(1, kBoundsVariable,
                  fmt::format("'{}' is not allowed, allowed is a comma list of "
                              "name=value; counts as missing",
                              item.substr(0, kMaxShownBytes)));
      continue;
    }
    bounds.Add(item.substr(0, separator), item.substr(separator + 1),
               {kBoundsVariable});
  }
  return bounds;
}

}  // namespace

mesh::Deployment ReadDeployment(std::span<const config::IniEntry> rules,
                                std::span<const config::IniEntry> bounds,
                                const config::Environment& environment,
                                config::DiagnosticList& ignored) {
  const Bounds read = ReadBounds(bounds, environment, ignored);
  auto decoded =
      platform::DecodeDeployment(ReadRules(rules, environment), read.values);
  for (platform::RefusedBound& refused : decoded.refused) {
    const BoundSource& source = read.sources[refused.index];
    ignored.Add(source.line, source.name, std::move(refused.why));
  }
  return decoded.deployment;
}

std::string DescribeDeployment() {
  return fmt::format(
      "\n[rules]\n"
      "  NAME: whether the rule is in force; true or false; without any rule, "
      "limits and roll-outs are in force where the configuration or an order "
      "calls for them; environment variable {}, a comma list of names\n"
      "\n[bounds]\n"
      "  NAME: bound of the deployment; see docs/platform.md; environment "
      "variable {}, a comma list of name=value\n",
      kRulesVariable, kBoundsVariable);
}

}  // namespace oleandertide::sidecar
