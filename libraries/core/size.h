// Units of byte counts.

#ifndef OLEANDERTIDE_CORE_SIZE_H_
#define OLEANDERTIDE_CORE_SIZE_H_

#include <cstddef>

namespace oleandertide {

inline constexpr std::size_t kKibibyte = 1024;
inline constexpr std::size_t kMebibyte = kKibibyte * kKibibyte;

}  // namespace oleandertide

#endif  // OLEANDERTIDE_CORE_SIZE_H_
