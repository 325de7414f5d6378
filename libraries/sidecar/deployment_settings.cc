#include "sidecar/deployment_settings.h"

#include <utility>
#include <vector>

#include "config/field.h"
#include "platform/deployment_codec.h"

namespace oleandertide::sidecar {

mesh::Deployment ReadDeployment(std::span<const config::IniEntry> rules,
                                std::span<const config::IniEntry> bounds,
                                config::DiagnosticList& ignored) {
  std::vector<platform::NamedRule> named_rules;
  for (const config::IniEntry& entry : rules) {
    if (config::IsNoValue(entry.value)) continue;
    named_rules.push_back(
        {.name = entry.key, .is_in_force = entry.value == "true"});
  }
  std::vector<platform::NamedBound> named_bounds;
  std::vector<std::size_t> lines;
  for (const config::IniEntry& entry : bounds) {
    if (config::IsNoValue(entry.value)) continue;
    named_bounds.push_back({.name = entry.key, .value = entry.value});
    lines.push_back(entry.line);
  }
  auto decoded = platform::DecodeDeployment(named_rules, named_bounds);
  for (platform::RefusedBound& refused : decoded.refused) {
    ignored.Add(lines[refused.index], "[bounds]", std::move(refused.why));
  }
  return decoded.deployment;
}

std::string DescribeDeployment() {
  return "\n[rules]\n"
         "  NAME: whether the rule is in force; true or false; without any "
         "rule, limits and roll-outs are in force where the configuration or "
         "an order calls for them\n"
         "\n[bounds]\n"
         "  NAME: bound of the deployment; see docs/platform.md\n";
}

}  // namespace oleandertide::sidecar
