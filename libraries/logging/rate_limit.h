// Limit on the lines that one event may write.

#ifndef OLEANDERTIDE_LOGGING_RATE_LIMIT_H_
#define OLEANDERTIDE_LOGGING_RATE_LIMIT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"

namespace oleandertide::logging {

// Admits up to a number of lines per second for each key. The keys must be a
// fixed set, since they are kept for the lifetime. Thread-safe.
class RateLimit {
 public:
  explicit RateLimit(std::uint64_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  // Returns nothing if the line is to be suppressed, otherwise the number of
  // lines of `key` that were suppressed since the last admitted one.
  // Precondition: `now` does not decrease for a key.
  std::optional<std::uint64_t> Admit(std::string_view key, MonotonicTime now);

 private:
  struct Window {
    MonotonicTime start;
    std::uint64_t admitted = 0;
    std::uint64_t suppressed = 0;
  };

  const std::uint64_t lines_per_second_;
  std::mutex mutex_;
  std::map<std::string, Window, std::less<>> windows_;
};

}  // namespace oleandertide::logging

#endif  // OLEANDERTIDE_LOGGING_RATE_LIMIT_H_
