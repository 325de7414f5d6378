#include "core/json.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <string>

namespace oleandertide {
namespace {

// Whether brackets outside strings are nested too deeply. A text that is no
// JSON may be taken for either.
bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool is_in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char character = text[i];
    if (is_in_string) {
      if (character == '\\') {
        ++i;
      } else if (character == '"') {
        is_in_string = false;
      }
    } else if (character == '"') {
      is_in_string = true;
    } else if (character == '[' || character == '{') {
      if (++depth > kMaxJsonDepth) return true;
    } else if (character == ']' || character == '}') {
      --depth;
    }
  }
  return false;
}

// Returns nothing if the member is missing.
const nlohmann::json* Find(const nlohmann::json& value, std::string_view name) {
  if (!value.is_object()) return nullptr;
  const auto found = value.find(std::string(name));
  return found == value.end() ? nullptr : &*found;
}

}  // namespace

std::optional<nlohmann::json> ParseJson(std::string_view text) {
  if (IsTooDeep(text)) return std::nullopt;
  nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
  if (value.is_discarded()) return std::nullopt;
  return value;
}

Result<std::string_view> ReadText(const nlohmann::json& value,
                                  std::string_view name) {
  const nlohmann::json* member = Find(value, name);
  if (member == nullptr || !member->is_string()) return Error::kDataDamaged;
  const std::string_view text = member->get_ref<const std::string&>();
  return text;
}

Result<std::int64_t> ReadInteger(const nlohmann::json& value,
                                 std::string_view name, std::int64_t low,
                                 std::int64_t high) {
  const nlohmann::json* member = Find(value, name);
  if (member == nullptr || !member->is_number_integer()) {
    return Error::kDataDamaged;
  }
  if (member->is_number_unsigned() &&
      member->get<std::uint64_t>() >
          static_cast<std::uint64_t>(
              std::numeric_limits<std::int64_t>::max())) {
    return Error::kDataDamaged;
  }
  const auto number = member->get<std::int64_t>();
  if (number < low || number > high) return Error::kDataDamaged;
  return number;
}

Result<double> ReadNumber(const nlohmann::json& value, std::string_view name,
                          double low, double high) {
  const nlohmann::json* member = Find(value, name);
  if (member == nullptr || !member->is_number()) return Error::kDataDamaged;
  const auto number = member->get<double>();
  if (!(number >= low && number <= high)) return Error::kDataDamaged;
  return number;
}

Result<std::uint64_t> ReadUnsigned(const nlohmann::json& value,
                                   std::string_view name) {
  const nlohmann::json* member = Find(value, name);
  if (member == nullptr || !member->is_number_unsigned()) {
    return Error::kDataDamaged;
  }
  return member->get<std::uint64_t>();
}

}  // namespace oleandertide
