// Values of INI entries and the rules that they must meet.

#ifndef OLEANDERTIDE_CONFIG_VALUE_H_
#define OLEANDERTIDE_CONFIG_VALUE_H_

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/method.h"
#include "core/address.h"
#include "core/time.h"

namespace oleandertide::config {

inline constexpr std::size_t kMaximumNameBytes = 64;
inline constexpr std::size_t kMaximumPathBytes = 256;

using Value = std::variant<Duration, std::int64_t, double, bool, std::string,
                           Address, std::vector<Address>, std::vector<Method>,
                           std::vector<std::string>>;

// Accepts a whole number with the unit ms, s, m or h that is a multiple of
// `step`. Value: Duration.
struct DurationRule {
  Duration minimum;
  Duration maximum;
  Duration step = std::chrono::milliseconds(1);
};

// Accepts a whole number without unit. Value: std::int64_t.
struct IntegerRule {
  std::int64_t minimum;
  std::int64_t maximum;
};

// Accepts a decimal number without unit. Value: double.
struct NumberRule {
  double minimum;
  double maximum;
};

// Accepts a decimal number without unit, in percent. Value: double.
struct PercentRule {
  double minimum;
  double maximum;
};

// Accepts a whole number with the unit B, KiB or MiB, in bytes. Value:
// std::int64_t.
struct SizeRule {
  std::int64_t minimum;
  std::int64_t maximum;
};

// Accepts true or false. Value: bool.
struct BooleanRule {};

// Accepts one of the words. Value: std::string.
struct ChoiceRule {
  std::vector<std::string_view> words;
};

// Accepts 1 to kMaximumNameBytes characters of a-z, 0-9 and '-'. Value:
// std::string.
struct NameRule {};

// Accepts 1 to kMaximumNameBytes printable ASCII characters. Value:
// std::string.
struct TextRule {};

// Accepts a path prefix: '/' or non-empty segments, each preceded by '/',
// without query and percent-encoding. Value: std::string.
struct PathRule {};

// Accepts a list of different request methods, separated by commas. Value:
// std::vector<Method>, not empty.
struct MethodsRule {};

// Accepts `IP:port`. Value: Address.
struct AddressRule {
  // Port 0 lets the system choose a port when the process listens.
  bool allows_port_zero = false;
  // Whether 0.0.0.0 and [::] may be given, for listening only.
  bool allows_wildcard = false;
};

// Accepts a list of different `IP:port`, separated by commas, which may be
// empty. Value: std::vector<Address>.
struct AddressListRule {
  std::size_t maximum_count;
};

// Accepts a list of different names as of NameRule, separated by commas, which
// may be empty. Value: std::vector<std::string>.
struct NameListRule {
  std::size_t maximum_count;
};

using Rule =
    std::variant<DurationRule, IntegerRule, NumberRule, PercentRule, SizeRule,
                 BooleanRule, ChoiceRule, NameRule, TextRule, PathRule,
                 MethodsRule, AddressRule, AddressListRule, NameListRule>;

// What is wrong with a text and what is allowed.
struct ValueFault {
  std::string message;
};

using ParsedValue =
    boost::outcome_v2::result<Value, ValueFault,
                              boost::outcome_v2::policy::terminate>;

// Reads `text` by `rule`. Thread-safe.
ParsedValue ParseValue(const Rule& rule, std::string_view text);

// Describes what `rule` allows, e.g. "a duration from 50ms to 10s".
// Thread-safe.
std::string Describe(const Rule& rule);

// Whether `text` meets NameRule. Thread-safe.
bool IsName(std::string_view text);

// Formats with the largest unit that divides `duration`, e.g. "90s".
// Precondition: whole milliseconds. Thread-safe.
std::string FormatDuration(Duration duration);

// Formats with the largest unit that divides `bytes`, e.g. "1MiB".
// Thread-safe.
std::string FormatSize(std::int64_t bytes);

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_VALUE_H_
