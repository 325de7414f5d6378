// Severity of events.

#ifndef OLEANDERTIDE_LOGGING_LEVEL_H_
#define OLEANDERTIDE_LOGGING_LEVEL_H_

#include <string_view>

#include "core/result.h"

namespace oleandertide::logging {

// In increasing severity.
enum class Level { kDebug, kInfo, kWarning, kError };

// Returns the word that ParseLevel reads. Thread-safe.
std::string_view ToString(Level level);

// Reads debug, info, warning or error. Error kInvalidArgument. Thread-safe.
Result<Level> ParseLevel(std::string_view word);

}  // namespace oleandertide::logging

#endif  // OLEANDERTIDE_LOGGING_LEVEL_H_
