// Log lines of a process, written to one of its standard streams.

#ifndef OLEANDERTIDE_LOGGING_LOG_H_
#define OLEANDERTIDE_LOGGING_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string_view>

#include "logging/field.h"
#include "logging/level.h"

namespace oleandertide::logging {

// Lines per second for each pair of component and event.
inline constexpr std::uint64_t kLinesPerSecond = 10;

enum class Stream : std::uint8_t { kStandardError, kStandardOutput };

// Sets the least severe level that is written, the name of the program in each
// line and the stream. Until the first call, the level is info and the stream
// is the standard error stream. Thread-safe with respect to Log, but two calls
// must not overlap.
void Initialize(Level level, std::string_view program,
                Stream stream = Stream::kStandardError);

// Whether events of `level` are written; for fields that are costly to
// compute. Thread-safe.
bool is_enabled(Level level);

// Writes one line, e.g.
//   2026-01-31T08:15:00.123Z info node distribution "version held" sequence=7
// Time is UTC. Above kLinesPerSecond, lines are suppressed; the next line of
// the event has a field `suppressed` with their number. Preconditions:
// `component` is one word; `component` and `event` are constants of the code.
// Thread-safe. Failures to write are ignored.
void Log(Level level, std::string_view component, std::string_view event,
         std::span<const Field> fields);
void Log(Level level, std::string_view component, std::string_view event,
         std::initializer_list<Field> fields = {});

}  // namespace oleandertide::logging

#endif  // OLEANDERTIDE_LOGGING_LOG_H_
