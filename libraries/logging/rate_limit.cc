#include "logging/rate_limit.h"

#include <utility>

namespace oleandertide::logging {
namespace {

constexpr Duration kWindow = std::chrono::seconds(1);

}  // namespace

std::optional<std::uint64_t> RateLimit::Admit(std::string_view key,
                                              MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  const auto [entry, is_new] = windows_.try_emplace(std::string(key));
  Window& window = entry->second;
  if (is_new || now - window.start >= kWindow) {
    window.start = now;
    window.admitted = 0;
  }
  if (window.admitted >= lines_per_second_) {
    ++window.suppressed;
    return std::nullopt;
  }
  ++window.admitted;
  return std::exchange(window.suppressed, 0);
}

}  // namespace oleandertide::logging
