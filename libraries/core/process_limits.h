// What the system allows this process, and what the process holds.

#ifndef OLEANDERTIDE_CORE_PROCESS_LIMITS_H_
#define OLEANDERTIDE_CORE_PROCESS_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>

namespace oleandertide {

// Nothing where the system sets no limit or does not tell it.
struct ProcessLimits {
  // Memory in bytes: the least of the limits of the process's control group and
  // those above it, of its data and address space, and of the machine's memory.
  std::optional<std::uint64_t> memory_bytes{};
  // The least of those that no other process shares: of the control group if
  // the process is alone in it, and of its data and address space. Nothing if
  // that is no less than the machine's memory.
  std::optional<std::uint64_t> own_memory_bytes{};
  std::optional<std::uint64_t> descriptors{};
};

// Reads the limits of this process. `root` is the folder that holds proc/ and
// sys/. Thread-safe.
ProcessLimits ReadProcessLimits(const std::filesystem::path& root = "/");

// Returns the resident memory of this process in bytes; 0 if the system does
// not tell it. Thread-safe.
std::size_t ResidentBytes();

}  // namespace oleandertide

#endif  // OLEANDERTIDE_CORE_PROCESS_LIMITS_H_
