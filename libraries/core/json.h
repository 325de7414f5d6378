// Reads JSON that other programs wrote.

#ifndef OLEANDERTIDE_CORE_JSON_H_
#define OLEANDERTIDE_CORE_JSON_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>

#include "core/result.h"

namespace oleandertide {

// More levels than any document of this project or of the systems it meets has.
inline constexpr int kMaxJsonDepth = 32;

// Parses a JSON text. Returns nothing for a text that is none, that has a
// number beyond the range of a double, or that is nested more than
// kMaxJsonDepth levels: copies and comparisons of a value take stack for each
// level. Thread-safe, as all functions here.
std::optional<nlohmann::json> ParseJson(std::string_view text);

// Returns a member of an object. Error kDataDamaged if `value` is no object, or
// the member is missing, of another type or out of range. An integer is taken
// only if it is written as one: through a floating-point number it would lose
// digits or exceed its type.
Result<std::string_view> ReadText(const nlohmann::json& value,
                                  std::string_view name);
Result<std::int64_t> ReadInteger(const nlohmann::json& value,
                                 std::string_view name, std::int64_t low,
                                 std::int64_t high);
Result<double> ReadNumber(const nlohmann::json& value, std::string_view name,
                          double low, double high);
Result<std::uint64_t> ReadUnsigned(const nlohmann::json& value,
                                   std::string_view name);

}  // namespace oleandertide

#endif  // OLEANDERTIDE_CORE_JSON_H_
