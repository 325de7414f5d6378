#include "config/environment.h"

#include <unistd.h>

namespace oleandertide::config {
namespace {

constexpr std::string_view kPrefix = "OLEANDERTIDE_";

}  // namespace

Environment Environment::OfProcess() {
  Variables variables;
  for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
    const std::string_view text = *entry;
    const std::size_t separator = text.find('=');
    if (!text.starts_with(kPrefix) || separator == std::string_view::npos) {
      continue;
    }
    variables.emplace(text.substr(0, separator), text.substr(separator + 1));
  }
  return Environment(std::move(variables));
}

std::optional<std::string_view> Environment::Find(std::string_view name) const {
  const auto found = variables_.find(name);
  if (found == variables_.end()) return std::nullopt;
  return found->second;
}

}  // namespace oleandertide::config
