#include "core/process_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <string>
#include <string_view>

namespace oleandertide {
namespace {

namespace fs = std::filesystem;

constexpr std::uint64_t kKibibyteBytes = 1024;

using Limit = std::optional<std::uint64_t>;

void Lower(Limit& limit, Limit other) {
  if (!other) return;
  limit = limit ? std::min(*limit, *other) : *other;
}

// Nothing if the file has no number, as where the limit is "max".
Limit ReadNumber(const fs::path& path) {
  std::ifstream file(path);
  std::uint64_t number = 0;
  if (!(file >> number)) return std::nullopt;
  return number;
}

// Returns the value of a line like `MemTotal:  24000 kB` in bytes.
Limit ReadKilobytes(const fs::path& path, std::string_view name) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    if (!line.starts_with(name)) continue;
    const std::string value = line.substr(name.size());
    char* end = nullptr;
    const std::uint64_t kilobytes = std::strtoull(value.c_str(), &end, 10);
    if (end == value.c_str()) return std::nullopt;
    return kilobytes * kKibibyteBytes;
  }
  return std::nullopt;
}

// Whether the control group has exactly one process.
bool HasOneProcess(const fs::path& group) {
  std::ifstream file(group / "cgroup.procs");
  std::uint64_t id = 0;
  return file >> id && !(file >> id);
}

// Takes the least limit of a control group and of those above it, up to
// `mount`.
void LowerToGroup(ProcessLimits& limits, const fs::path& mount,
                  std::string_view group, const char* file) {
  fs::path path = mount;
  Lower(limits.memory_bytes, ReadNumber(path / file));
  for (const fs::path& part : fs::path(group).relative_path()) {
    path /= part;
    Lower(limits.memory_bytes, ReadNumber(path / file));
  }
  if (HasOneProcess(path)) {
    Lower(limits.own_memory_bytes, ReadNumber(path / file));
  }
}

void LowerToGroups(ProcessLimits& limits, const fs::path& root) {
  std::ifstream file(root / "proc/self/cgroup");
  std::string line;
  // HIERARCHY:CONTROLLERS:GROUP; version 2 names no controllers.
  while (std::getline(file, line)) {
    const std::size_t first = line.find(':');
    const std::size_t second = line.find(':', first + 1);
    if (second == std::string::npos) continue;
    const std::string_view text = line;
    const std::string_view controllers =
        text.substr(first + 1, second - first - 1);
    const std::string_view group = text.substr(second + 1);
    if (controllers.empty()) {
      LowerToGroup(limits, root / "sys/fs/cgroup", group, "memory.max");
    } else if (controllers == "memory") {
      LowerToGroup(limits, root / "sys/fs/cgroup/memory", group,
                   "memory.limit_in_bytes");
    }
  }
}

Limit ReadResourceLimit(decltype(RLIMIT_DATA) resource) {
  rlimit limit{};
  if (getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return std::nullopt;
  }
  return limit.rlim_cur;
}

// Returns what the limit of the address space leaves to memory: the program's
// files take part of it without being resident.
Limit ReadAddressSpaceLimit(const fs::path& root) {
  const Limit limit = ReadResourceLimit(RLIMIT_AS);
  if (!limit) return std::nullopt;
  const fs::path status = root / "proc/self/status";
  const std::uint64_t mapped = ReadKilobytes(status, "VmSize:").value_or(0);
  const std::uint64_t resident = ReadKilobytes(status, "VmRSS:").value_or(0);
  const std::uint64_t other = mapped - std::min(mapped, resident);
  return *limit - std::min(*limit, other);
}

}  // namespace

ProcessLimits ReadProcessLimits(const fs::path& root) {
  ProcessLimits limits;
  const Limit machine = ReadKilobytes(root / "proc/meminfo", "MemTotal:");
  Lower(limits.memory_bytes, machine);
  LowerToGroups(limits, root);
  Lower(limits.own_memory_bytes, ReadResourceLimit(RLIMIT_DATA));
  Lower(limits.own_memory_bytes, ReadAddressSpaceLimit(root));
  // Version 1 of control groups has a number for "no limit".
  if (machine && limits.own_memory_bytes.value_or(0) >= *machine) {
    limits.own_memory_bytes.reset();
  }
  Lower(limits.memory_bytes, limits.own_memory_bytes);
  Lower(limits.descriptors, ReadResourceLimit(RLIMIT_NOFILE));
  return limits;
}

std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t mapped = 0;
  std::size_t resident = 0;
  if (!(file >> mapped >> resident)) return 0;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace oleandertide
