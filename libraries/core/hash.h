// Non-cryptographic hashes (xxHash) of byte strings.

#ifndef OLEANDERTIDE_CORE_HASH_H_
#define OLEANDERTIDE_CORE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace oleandertide {

// Returns the 64-bit XXH3 hash of `bytes`. Thread-safe.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

// Mixes two hashes; the order of the arguments matters. Thread-safe.
std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second);

// Returns the 128-bit XXH3 hash of `bytes` as 32 lower-case hexadecimal
// characters. Documents are stored under this digest. Thread-safe.
std::string ContentDigest(std::string_view bytes);

}  // namespace oleandertide

#endif  // OLEANDERTIDE_CORE_HASH_H_
