#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <string>

#include "logging/log.h"
#include "logging/rate_limit.h"

namespace oleandertide::logging {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Sends the standard error stream to a temporary file for its lifetime.
class CapturedErrorStream {
 public:
  CapturedErrorStream() : saved_(dup(STDERR_FILENO)), file_(std::tmpfile()) {
    dup2(fileno(file_), STDERR_FILENO);
  }
  ~CapturedErrorStream() {
    dup2(saved_, STDERR_FILENO);
    close(saved_);
    std::fclose(file_);
  }
  CapturedErrorStream(const CapturedErrorStream&) = delete;
  CapturedErrorStream& operator=(const CapturedErrorStream&) = delete;

  std::string text() const {
    std::string text(1 << 16, '\0');
    const ssize_t size = pread(fileno(file_), text.data(), text.size(), 0);
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }

 private:
  int saved_;
  std::FILE* file_;
};

std::string Format(std::initializer_list<Field> fields) {
  return FormatLine("calls", "request refused",
                    std::span(fields.begin(), fields.size()));
}

TEST_CASE("values are written by type") {
  REQUIRE(Format({{"a", "text"},
                  {"b", std::string("x")},
                  {"c", -5},
                  {"d", std::uint64_t{18446744073709551615U}},
                  {"e", true},
                  {"f", 0.5}}) ==
          "calls \"request refused\" a=text b=x c=-5 d=18446744073709551615 "
          "e=true f=0.5");
}

// Guards against a value that forges a second line or another field.
TEST_CASE("values cannot leave their field") {
  REQUIRE(Format({{"a", "x\n2026 error"}, {"b", "c=d"}, {"e", ""}}) ==
          "calls \"request refused\" a=\"x\\n2026 error\" b=\"c=d\" e=\"\"");
  REQUIRE(Format({{"a", "\"\\\x1b\xc3\r\t"}}) ==
          R"(calls "request refused" a="\"\\\x1b\xc3\r\t")");
}

// Guards against a request that fills the log.
TEST_CASE("long values are cut") {
  const std::string line = Format({{"a", std::string(5000, 'x')}});
  REQUIRE(line.size() < kMaximumValueBytes + 50);
  REQUIRE_THAT(line, Catch::Matchers::EndsWith("xxx..."));
}

// Guards against a repeated event that fills the log, and against suppressed
// lines that nobody learns of.
TEST_CASE("lines above the limit are suppressed and counted") {
  RateLimit limit(2);
  const MonotonicTime start{};
  REQUIRE(limit.Admit("a", start) == 0U);
  REQUIRE(limit.Admit("a", start + milliseconds(1)) == 0U);
  REQUIRE_FALSE(limit.Admit("a", start + milliseconds(2)));
  REQUIRE_FALSE(limit.Admit("a", start + milliseconds(999)));
  REQUIRE(limit.Admit("b", start + milliseconds(999)) == 0U);
  REQUIRE(limit.Admit("a", start + seconds(1)) == 2U);
  REQUIRE(limit.Admit("a", start + seconds(1)) == 0U);
  REQUIRE_FALSE(limit.Admit("a", start + milliseconds(1500)));
}

// Guards against lines below the level, without the program or in more than
// one line.
TEST_CASE("a line has time, level, program, component and event") {
  const CapturedErrorStream captured;
  Initialize(Level::kWarning, "test-program");
  REQUIRE_FALSE(is_enabled(Level::kInfo));
  Log(Level::kInfo, "config", "hidden");
  Log(Level::kWarning, "config", "version refused", {{"sequence", 7}});
  REQUIRE_THAT(captured.text(),
               Catch::Matchers::Matches(
                   "\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z "
                   "warning test-program config \"version refused\" "
                   "sequence=7\n"));
}

// Guards against a limit that is not applied by Log.
TEST_CASE("Log limits each event") {
  const CapturedErrorStream captured;
  Initialize(Level::kInfo, "test-program");
  const MonotonicTime start = MonotonicClock::now();
  for (int i = 0; i < 1000; ++i) Log(Level::kInfo, "test", "repeated");
  const auto windows = (MonotonicClock::now() - start) / seconds(1) + 1;
  const std::string text = captured.text();
  const auto lines = std::count(text.begin(), text.end(), '\n');
  REQUIRE(lines >= static_cast<long>(kLinesPerSecond));
  REQUIRE(lines <= windows * static_cast<long>(kLinesPerSecond));
}

TEST_CASE("levels are read from words") {
  REQUIRE(ParseLevel("debug").value() == Level::kDebug);
  REQUIRE(ParseLevel(ToString(Level::kError)).value() == Level::kError);
  REQUIRE_FALSE(ParseLevel("loud"));
}

}  // namespace
}  // namespace oleandertide::logging
