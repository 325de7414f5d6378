#include "config/value.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace oleandertide::config {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kMaximumShownBytes = 80;

struct Unit {
  std::string_view name;
  std::int64_t factor;
};

// Factors in microseconds, the unit of Duration.
constexpr std::array<Unit, 4> kDurationUnits = {{
    {"h", Duration(hours(1)).count()},
    {"m", Duration(minutes(1)).count()},
    {"s", Duration(seconds(1)).count()},
    {"ms", Duration(milliseconds(1)).count()},
}};

// Factors in bytes.
constexpr std::array<Unit, 3> kSizeUnits = {{
    {"MiB", 1 << 20},
    {"KiB", 1 << 10},
    {"B", 1},
}};

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, code] = std::from_chars(text.data(), end, number);
  if (code != std::errc() || rest != end) return std::nullopt;
  return number;
}

// Reads a non-negative whole number and a unit, which may be separated by
// blanks. Gives nothing on overflow too.
std::optional<std::int64_t> ParseQuantity(std::string_view text,
                                          std::span<const Unit> units) {
  const std::size_t digits = text.find_first_not_of("0123456789");
  if (digits == std::string_view::npos) return std::nullopt;
  const auto number = ParseInteger(text.substr(0, digits));
  const auto unit =
      std::ranges::find(units, Trim(text.substr(digits)), &Unit::name);
  std::int64_t quantity = 0;
  if (!number || unit == units.end() ||
      __builtin_mul_overflow(*number, unit->factor, &quantity)) {
    return std::nullopt;
  }
  return quantity;
}

std::string FormatQuantity(std::int64_t quantity, std::span<const Unit> units) {
  const auto unit = std::ranges::find_if(units, [&](const Unit& candidate) {
    return quantity % candidate.factor == 0;
  });
  const Unit& chosen = unit == units.end() ? units.back() : *unit;
  return std::to_string(quantity / chosen.factor) + std::string(chosen.name);
}

// Formats with at most 6 significant digits and without trailing zeros.
std::string FormatDecimal(double number) {
  std::array<char, 32> buffer{};
  const auto written =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), number,
                    std::chars_format::general, 6);
  return {buffer.data(), written.ptr};
}

bool IsPathCharacter(char c) {
  constexpr std::string_view kPunctuation = "/-._~!$&'()*+,;=:@";
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') ||
         kPunctuation.find(c) != std::string_view::npos;
}

bool IsPath(std::string_view text) {
  if (text == "/") return true;
  if (!text.starts_with('/') || text.size() > kMaximumPathBytes ||
      !std::ranges::all_of(text, IsPathCharacter)) {
    return false;
  }
  while (!text.empty()) {
    text.remove_prefix(1);
    const std::string_view segment = text.substr(0, text.find('/'));
    if (segment.empty() || segment == "." || segment == "..") return false;
    text.remove_prefix(segment.size());
  }
  return true;
}

// Reads a comma list of different elements. `parse` returns an optional.
template <typename T, typename Parse>
std::optional<std::vector<T>> ParseList(std::string_view text, Parse parse) {
  std::vector<T> list;
  for (bool has_more = true; has_more;) {
    const std::size_t comma = text.find(',');
    const std::optional<T> element = parse(Trim(text.substr(0, comma)));
    if (!element || std::ranges::find(list, *element) != list.end()) {
      return std::nullopt;
    }
    list.push_back(*element);
    has_more = comma != std::string_view::npos;
    if (has_more) text.remove_prefix(comma + 1);
  }
  return list;
}

std::optional<Address> ParseAddress(const AddressRule& rule,
                                    std::string_view text) {
  auto address = Address::Parse(text);
  if (!address || (address.value().port == 0 && !rule.allows_port_zero) ||
      (address.value().is_wildcard() && !rule.allows_wildcard)) {
    return std::nullopt;
  }
  return std::move(address).value();
}

// Reads a text by the visited rule; gives nothing if it is not allowed.
struct ValueParser {
  std::string_view text;

  std::optional<Value> operator()(const DurationRule& rule) const {
    const auto count = ParseQuantity(text, kDurationUnits);
    if (!count) return std::nullopt;
    const Duration duration(*count);
    if (duration < rule.minimum || duration > rule.maximum ||
        duration % rule.step != Duration(0)) {
      return std::nullopt;
    }
    return duration;
  }

  std::optional<Value> operator()(const IntegerRule& rule) const {
    const auto number = ParseInteger(text);
    if (!number || *number < rule.minimum || *number > rule.maximum) {
      return std::nullopt;
    }
    return *number;
  }

  std::optional<Value> operator()(const NumberRule& rule) const {
    return ReadNumber(rule.minimum, rule.maximum);
  }

  std::optional<Value> operator()(const PercentRule& rule) const {
    return ReadNumber(rule.minimum, rule.maximum);
  }

  std::optional<Value> ReadNumber(double minimum, double maximum) const {
    double number = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, code] =
        std::from_chars(text.data(), end, number, std::chars_format::fixed);
    // The negated comparison also refuses a value that is not a number.
    if (code != std::errc() || rest != end ||
        !(number >= minimum && number <= maximum)) {
      return std::nullopt;
    }
    return number;
  }

  std::optional<Value> operator()(const SizeRule& rule) const {
    const auto bytes = ParseQuantity(text, kSizeUnits);
    if (!bytes || *bytes < rule.minimum || *bytes > rule.maximum) {
      return std::nullopt;
    }
    return *bytes;
  }

  std::optional<Value> operator()(const BooleanRule& /*rule*/) const {
    if (text == "true") return true;
    if (text == "false") return false;
    return std::nullopt;
  }

  std::optional<Value> operator()(const ChoiceRule& rule) const {
    if (std::ranges::find(rule.words, text) == rule.words.end()) {
      return std::nullopt;
    }
    return std::string(text);
  }

  std::optional<Value> operator()(const NameRule& /*rule*/) const {
    if (!IsName(text)) return std::nullopt;
    return std::string(text);
  }

  std::optional<Value> operator()(const TextRule& /*rule*/) const {
    if (text.empty() || text.size() > kMaximumNameBytes ||
        std::ranges::any_of(text,
                            [](char c) { return c < 0x20 || c > 0x7e; })) {
      return std::nullopt;
    }
    return std::string(text);
  }

  std::optional<Value> operator()(const PathRule& /*rule*/) const {
    if (!IsPath(text)) return std::nullopt;
    return std::string(text);
  }

  std::optional<Value> operator()(const MethodsRule& /*rule*/) const {
    auto methods = ParseList<Method>(text, ParseMethod);
    if (!methods) return std::nullopt;
    return *std::move(methods);
  }

  std::optional<Value> operator()(const AddressRule& rule) const {
    auto address = ParseAddress(rule, text);
    if (!address) return std::nullopt;
    return *std::move(address);
  }

  std::optional<Value> operator()(const AddressListRule& rule) const {
    if (text.empty()) return std::vector<Address>();
    auto addresses = ParseList<Address>(text, [](std::string_view element) {
      return ParseAddress(AddressRule{}, element);
    });
    if (!addresses || addresses->size() > rule.maximum_count) {
      return std::nullopt;
    }
    return *std::move(addresses);
  }

  std::optional<Value> operator()(const NameListRule& rule) const {
    if (text.empty()) return std::vector<std::string>();
    auto names = ParseList<std::string>(
        text, [](std::string_view element) -> std::optional<std::string> {
          if (!IsName(element)) return std::nullopt;
          return std::string(element);
        });
    if (!names || names->size() > rule.maximum_count) return std::nullopt;
    return *std::move(names);
  }
};

// Names what the visited rule allows.
struct RuleDescriber {
  std::string operator()(const DurationRule& rule) const {
    std::string text = "a duration (ms, s, m, h) from " +
                       FormatDuration(rule.minimum) + " to " +
                       FormatDuration(rule.maximum);
    if (rule.step > milliseconds(1)) {
      text += " in steps of " + FormatDuration(rule.step);
    }
    return text;
  }

  std::string operator()(const IntegerRule& rule) const {
    if (rule.minimum == rule.maximum) return std::to_string(rule.minimum);
    return "a whole number from " + std::to_string(rule.minimum) + " to " +
           std::to_string(rule.maximum);
  }

  std::string operator()(const NumberRule& rule) const {
    return "a number (without unit) from " + FormatDecimal(rule.minimum) +
           " to " + FormatDecimal(rule.maximum);
  }

  std::string operator()(const PercentRule& rule) const {
    return "a percentage (without unit) from " + FormatDecimal(rule.minimum) +
           " to " + FormatDecimal(rule.maximum);
  }

  std::string operator()(const SizeRule& rule) const {
    return "a size (B, KiB, MiB) from " + FormatSize(rule.minimum) + " to " +
           FormatSize(rule.maximum);
  }

  std::string operator()(const BooleanRule& /*rule*/) const {
    return "true or false";
  }

  std::string operator()(const ChoiceRule& rule) const {
    std::string text;
    for (const std::string_view word : rule.words) {
      text += (text.empty() ? "" : " | ") + std::string(word);
    }
    return text;
  }

  std::string operator()(const NameRule& /*rule*/) const {
    return "a name of 1 to 64 characters of a-z, 0-9 and '-'";
  }

  std::string operator()(const TextRule& /*rule*/) const {
    return "1 to 64 printable ASCII characters";
  }

  std::string operator()(const PathRule& /*rule*/) const {
    return "a path of at most 256 bytes that begins with '/', without query, "
           "percent-encoding, empty segments, '.' and '..'";
  }

  std::string operator()(const MethodsRule& /*rule*/) const {
    return "a comma list of different methods of GET, HEAD, POST, PUT, PATCH, "
           "DELETE and OPTIONS";
  }

  std::string operator()(const AddressRule& rule) const {
    std::string text = "an IP:port";
    if (!rule.allows_port_zero) text += " with port 1 to 65535";
    if (!rule.allows_wildcard) text += ", not 0.0.0.0 or [::]";
    return text;
  }

  std::string operator()(const AddressListRule& rule) const {
    return "a comma list of 0 to " + std::to_string(rule.maximum_count) +
           " different IP:port with port 1 to 65535";
  }

  std::string operator()(const NameListRule& rule) const {
    return "a comma list of 0 to " + std::to_string(rule.maximum_count) +
           " different names of a-z, 0-9 and '-'";
  }
};

}  // namespace

ParsedValue ParseValue(const Rule& rule, std::string_view text) {
  if (auto value = std::visit(ValueParser{text}, rule)) {
    return *std::move(value);
  }
  return ValueFault{"'" + std::string(text.substr(0, kMaximumShownBytes)) +
                    "' is not allowed, allowed is " + Describe(rule)};
}

std::string Describe(const Rule& rule) {
  return std::visit(RuleDescriber{}, rule);
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaximumNameBytes &&
         std::ranges::all_of(text, [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
         });
}

std::string FormatDuration(Duration duration) {
  if (duration == Duration(0)) return "0s";
  return FormatQuantity(duration.count(), kDurationUnits);
}

std::string FormatSize(std::int64_t bytes) {
  if (bytes == 0) return "0B";
  return FormatQuantity(bytes, kSizeUnits);
}

}  // namespace oleandertide::config
