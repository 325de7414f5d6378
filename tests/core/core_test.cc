#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "core/hash.h"
#include "core/json.h"
#include "core/process_limits.h"
#include "core/random.h"
#include "core/result.h"

namespace oleandertide {
namespace {

// A folder of its own in place of the system's root, with proc/ and sys/.
class SystemFiles {
 public:
  SystemFiles() { std::filesystem::remove_all(root_); }
  SystemFiles(const SystemFiles&) = delete;
  SystemFiles& operator=(const SystemFiles&) = delete;
  ~SystemFiles() { std::filesystem::remove_all(root_); }

  const std::filesystem::path& root() const { return root_; }

  // Returns a function that writes `text` to a path below the root. It must not
  // outlive this object.
  auto writer() const {
    return [this](const std::string& path, const std::string& text) {
      std::filesystem::create_directories((root_ / path).parent_path());
      std::ofstream(root_ / path) << text;
    };
  }

 private:
  const std::filesystem::path root_ =
      std::filesystem::temp_directory_path() /
      ("oleandertide-limits-" + std::to_string(getpid()));
};

Result<int> FailEarly() {
  OLEANDERTIDE_TRY(value, Result<int>(Error::kTimeout));
  return value + 1;
}

// Guards against an error that is dropped on its way up.
TEST_CASE("an error travels through OLEANDERTIDE_TRY") {
  REQUIRE(FailEarly().error() == Error::kTimeout);
}

// Guards against nodes that disagree on a document's digest: the digest is
// part of the stored format and must not change between builds.
TEST_CASE("content digests are stable") {
  REQUIRE(ContentDigest("").size() == 32);
  REQUIRE(ContentDigest("") == "99aa06d3014798d86001c324468d497f");
  REQUIRE(ContentDigest("a") != ContentDigest("b"));
}

// Guards against a process that takes the machine's memory for its own.
TEST_CASE("the least limit of a process and its control groups holds") {
  const SystemFiles files;
  const auto write = files.writer();
  constexpr std::uint64_t kMachineBytes = 24'576'000;
  const auto memory = [&files] {
    return ReadProcessLimits(files.root()).memory_bytes.value_or(0);
  };
  REQUIRE_FALSE(ReadProcessLimits(files.root()).memory_bytes);
  write("proc/meminfo", "MemTotal:       24000 kB\nMemFree:  1 kB\n");
  REQUIRE(memory() == kMachineBytes);
  write("proc/self/cgroup", "0::/pods/one\n");
  write("sys/fs/cgroup/pods/one/memory.max", "max\n");
  REQUIRE(memory() == kMachineBytes);
  write("sys/fs/cgroup/pods/memory.max", "16000000\n");
  REQUIRE(memory() == 16'000'000);
  write("sys/fs/cgroup/pods/one/memory.max", "9000000\n");
  REQUIRE(memory() == 9'000'000);
  write("proc/self/cgroup", "3:cpu:/pods/one\n2:memory:/old\n");
  write("sys/fs/cgroup/memory/old/memory.limit_in_bytes", "7000000\n");
  REQUIRE(memory() == 7'000'000);
}

// Guards against a process that takes for its own what a limit leaves to all
// processes of a group.
TEST_CASE("a limit is the process's own if no other process shares it") {
  const SystemFiles files;
  const auto write = files.writer();
  write("proc/meminfo", "MemTotal:       24000 kB\n");
  write("proc/self/cgroup", "0::/pods/one\n");
  write("sys/fs/cgroup/pods/memory.max", "16000000\n");
  write("sys/fs/cgroup/pods/one/memory.max", "9000000\n");
  write("sys/fs/cgroup/pods/one/cgroup.procs", "7\n8\n");
  REQUIRE_FALSE(ReadProcessLimits(files.root()).own_memory_bytes);
  write("sys/fs/cgroup/pods/one/cgroup.procs", "7\n");
  REQUIRE(ReadProcessLimits(files.root()).own_memory_bytes == 9'000'000);
  // The limit above it is shared.
  write("sys/fs/cgroup/pods/one/memory.max", "max\n");
  REQUIRE_FALSE(ReadProcessLimits(files.root()).own_memory_bytes);
  write("proc/self/cgroup", "4:memory:/old\n");
  write("sys/fs/cgroup/memory/old/cgroup.procs", "7\n");
  write("sys/fs/cgroup/memory/old/memory.limit_in_bytes",
        "9223372036854771712\n");
  REQUIRE_FALSE(ReadProcessLimits(files.root()).own_memory_bytes);
}

// Guards against jitter outside its bounds, which would break retry limits.
TEST_CASE("random durations stay within their bounds") {
  RandomSource random(7);
  for (int i = 0; i < 1000; ++i) {
    const Duration value = random.Between(Duration(10), Duration(12));
    REQUIRE(value >= Duration(10));
    REQUIRE(value <= Duration(12));
  }
}

// Guards against a stack that overflows, and against numbers that lose digits,
// by what another program wrote.
TEST_CASE("JSON of other programs is bounded in depth and in its numbers") {
  const auto nested = [](std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
  };
  REQUIRE(ParseJson(nested(kMaxJsonDepth)).has_value());
  REQUIRE_FALSE(ParseJson(nested(kMaxJsonDepth + 1)).has_value());
  REQUIRE_FALSE(ParseJson(nested(1'000'000)).has_value());
  REQUIRE(ParseJson("\"" + std::string(100, '[') + "\\\"[\"").has_value());
  for (const char* text : {"", "{", "nul", "1e999", "\"\xff\"", "[1,]"}) {
    REQUIRE_FALSE(ParseJson(text).has_value());
  }
  const auto value = ParseJson(
      R"({"a":5,"b":-5,"c":1.5,"d":18446744073709551615,"e":"5","f":1e300})");
  REQUIRE(ReadInteger(*value, "a", 0, 5).value() == 5);
  REQUIRE(ReadInteger(*value, "b", -5, 0).value() == -5);
  REQUIRE_FALSE(ReadInteger(*value, "a", 0, 4));
  for (const char* name : {"c", "d", "e", "f", "g"}) {
    REQUIRE_FALSE(ReadInteger(*value, name, INT64_MIN, INT64_MAX));
  }
  REQUIRE(ReadUnsigned(*value, "d").value() == UINT64_MAX);
  REQUIRE_FALSE(ReadUnsigned(*value, "b"));
  REQUIRE_FALSE(ReadUnsigned(*value, "f"));
  REQUIRE(ReadNumber(*value, "c", 0, 2).value() == 1.5);
  REQUIRE_FALSE(ReadNumber(*value, "f", 0, 2));
  REQUIRE(ReadText(*value, "e").value() == "5");
  REQUIRE_FALSE(ReadText(*value, "a"));
  REQUIRE_FALSE(ReadText(*ParseJson("[]"), "a"));
}

}  // namespace
}  // namespace oleandertide
