#include "logging/level.h"

#include <algorithm>
#include <array>

namespace oleandertide::logging {
namespace {

// Indexed by Level.
constexpr std::array<std::string_view, 4> kWords = {"debug", "info", "warning",
                                                    "error"};

}  // namespace

std::string_view ToString(Level level) {
  return kWords[static_cast<std::size_t>(level)];
}

Result<Level> ParseLevel(std::string_view word) {
  const auto* const found = std::ranges::find(kWords, word);
  if (found == kWords.end()) return Error::kInvalidArgument;
  return static_cast<Level>(found - kWords.begin());
}

}  // namespace oleandertide::logging
