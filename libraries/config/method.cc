#include "config/method.h"

#include <algorithm>
#include <array>

namespace oleandertide::config {
namespace {

// Indexed by Method.
constexpr std::array<std::string_view, 7> kNames = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

}  // namespace

std::string_view ToString(Method method) {
  return kNames[static_cast<std::size_t>(method)];
}

std::string ToString(std::span<const Method> methods) {
  std::string text;
  for (const Method method : methods) {
    if (!text.empty()) text += ", ";
    text += ToString(method);
  }
  return text;
}

std::optional<Method> ParseMethod(std::string_view name) {
  const auto* const found = std::ranges::find(kNames, name);
  if (found == kNames.end()) return std::nullopt;
  return static_cast<Method>(found - kNames.begin());
}

}  // namespace oleandertide::config
