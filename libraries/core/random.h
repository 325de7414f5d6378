// Source of random numbers that is passed to decision code.

#ifndef OLEANDERTIDE_CORE_RANDOM_H_
#define OLEANDERTIDE_CORE_RANDOM_H_

#include <cstdint>
#include <random>

#include "core/time.h"

namespace oleandertide {

// Deterministic for a given seed. Not thread-safe.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // Returns a uniform 64-bit value.
  std::uint64_t Next() { return engine_(); }

  // Returns a uniform value in [0, bound). Precondition: bound > 0.
  std::uint64_t Below(std::uint64_t bound) { return engine_() % bound; }

  // Returns a uniform value in [0, 1).
  double Unit() {
    constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
    return static_cast<double>(engine_() >> 11) * kScale;
  }

  // Returns a uniform duration in [low, high]. Precondition: low <= high.
  Duration Between(Duration low, Duration high) {
    const auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + Duration(static_cast<std::int64_t>(Below(span)));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace oleandertide

#endif  // OLEANDERTIDE_CORE_RANDOM_H_
