#include "logging/log.h"

#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <atomic>
#include <memory>
#include <string>

#include "core/time.h"
#include "logging/rate_limit.h"

namespace oleandertide::logging {
namespace {

constexpr const char* kPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %n %v";
constexpr const char* kDefaultProgram = "oleandertide";

spdlog::level::level_enum ToSpdlog(Level level) {
  switch (level) {
    case Level::kDebug:
      return spdlog::level::debug;
    case Level::kInfo:
      return spdlog::level::info;
    case Level::kWarning:
      return spdlog::level::warn;
    case Level::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

spdlog::sink_ptr MakeSink(Stream stream) {
  if (stream == Stream::kStandardOutput) {
    return std::make_shared<spdlog::sinks::stdout_sink_mt>();
  }
  return std::make_shared<spdlog::sinks::stderr_sink_mt>();
}

std::shared_ptr<spdlog::logger> MakeLogger(const std::string& program,
                                           Stream stream) {
  auto logger = std::make_shared<spdlog::logger>(program, MakeSink(stream));
  logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      kPattern, spdlog::pattern_time_type::utc));
  // The default handler writes to the same stream that failed.
  logger->set_error_handler([](const std::string& /*message*/) {});
  // Levels are checked before the line is formatted.
  logger->set_level(spdlog::level::trace);
  return logger;
}

struct State {
  std::atomic<Level> level = Level::kInfo;
  std::atomic<std::shared_ptr<spdlog::logger>> logger =
      MakeLogger(kDefaultProgram, Stream::kStandardError);
  RateLimit rate_limit{kLinesPerSecond};
};

// Never destroyed: threads may log while the process ends.
State& GlobalState() {
  static State& state = *new State;
  return state;
}

}  // namespace

void Initialize(Level level, std::string_view program, Stream stream) {
  State& state = GlobalState();
  state.level = level;
  state.logger = MakeLogger(std::string(program), stream);
}

bool is_enabled(Level level) {
  return level >= GlobalState().level.load(std::memory_order_relaxed);
}

void Log(Level level, std::string_view component, std::string_view event,
         std::span<const Field> fields) {
  if (!is_enabled(level)) return;
  State& state = GlobalState();
  std::string key(component);
  key += ' ';
  key += event;
  const auto suppressed = state.rate_limit.Admit(key, MonotonicClock::now());
  if (!suppressed) return;
  std::string line = FormatLine(component, event, fields);
  if (*suppressed > 0) line += " suppressed=" + std::to_string(*suppressed);
  state.logger.load()->log(ToSpdlog(level), spdlog::string_view_t(line));
}

void Log(Level level, std::string_view component, std::string_view event,
         std::initializer_list<Field> fields) {
  Log(level, component, event, std::span(fields.begin(), fields.size()));
}

}  // namespace oleandertide::logging
