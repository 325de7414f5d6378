// Time as it is passed to decision code, which never reads a clock itself.

#ifndef OLEANDERTIDE_CORE_TIME_H_
#define OLEANDERTIDE_CORE_TIME_H_

#include <chrono>
#include <cstdint>
#include <ctime>

namespace oleandertide {

using Duration = std::chrono::microseconds;

// Monotonic time of one process. Values of different processes must not be
// compared; ages (durations) travel in messages instead.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): required by the standard.
  static constexpr bool is_steady = true;

  // Reads the system's steady clock. Thread-safe.
  static time_point now() {
    return time_point(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

using MonotonicTime = MonotonicClock::time_point;

// Time of one process that goes on while its machine is suspended, unlike
// MonotonicClock. For ages that bound what a node may still act on.
struct BootClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): required by the standard.
  static constexpr bool is_steady = true;

  // Thread-safe.
  static time_point now() {
    std::timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) +
        std::chrono::nanoseconds(time.tv_nsec)));
  }
};

using BootTime = BootClock::time_point;

// Time of day, used only for due times of scheduled jobs and for display.
using WallTime =
    std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds>;

// Converts to whole milliseconds, rounding towards zero.
inline std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace oleandertide

#endif  // OLEANDERTIDE_CORE_TIME_H_
