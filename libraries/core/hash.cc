#include "core/hash.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace oleandertide {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> pair = {first, second};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

std::string ContentDigest(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return {text.data(), 32};
}

}  // namespace oleandertide
