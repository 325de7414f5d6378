// Methods of HTTP requests (RFC 9110) that a route may name.

#ifndef OLEANDERTIDE_CONFIG_METHOD_H_
#define OLEANDERTIDE_CONFIG_METHOD_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace oleandertide::config {

enum class Method : std::uint8_t {
  kGet,
  kHead,
  kPost,
  kPut,
  kPatch,
  kDelete,
  kOptions,
};

// Returns the name in upper case. Thread-safe.
std::string_view ToString(Method method);

// Returns the names, separated by ", ". Thread-safe.
std::string ToString(std::span<const Method> methods);

// Returns the method, or nothing if the name (in upper case) is none of the
// methods above. Thread-safe.
std::optional<Method> ParseMethod(std::string_view name);

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_METHOD_H_
