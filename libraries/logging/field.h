// Fields of log lines.

#ifndef OLEANDERTIDE_LOGGING_FIELD_H_
#define OLEANDERTIDE_LOGGING_FIELD_H_

#include <concepts>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace oleandertide::logging {

// Longer values are cut, so that a request cannot fill the log.
inline constexpr std::size_t kMaximumValueBytes = 1024;

// A key with its value. Keys are constants of the code: a-z, 0-9 and '_'.
// Refers to text without copying it; valid for the call that it is passed to.
class Field {
 public:
  using Value =
      std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

  Field(std::string_view key, std::string_view value)
      : key_(key), value_(value) {}
  // Without this, a string literal would be taken for a bool.
  Field(std::string_view key, const char* value)
      : Field(key, std::string_view{value}) {}
  Field(std::string_view key, const std::string& value)
      : Field(key, std::string_view{value}) {}
  Field(std::string_view key, std::same_as<bool> auto value)
      : key_(key), value_(static_cast<bool>(value)) {}
  Field(std::string_view key, std::floating_point auto value)
      : key_(key), value_(static_cast<double>(value)) {}
  Field(std::string_view key, std::signed_integral auto value)
      : key_(key), value_(static_cast<std::int64_t>(value)) {}
  template <std::unsigned_integral T>
  requires(!std::same_as<T, bool>) Field(std::string_view key, T value)
      : key_(key), value_(static_cast<std::uint64_t>(value)) {}

  std::string_view key() const { return key_; }
  const Value& value() const { return value_; }

 private:
  std::string_view key_;
  Value value_;
};

// Writes `component event key=value…`. The event and values are quoted when
// they are empty or contain blanks, '=', '"' or '\'; control characters and
// bytes outside ASCII are written as \n, \r, \t or \xNN, so that a line always
// stays one line. Thread-safe.
std::string FormatLine(std::string_view component, std::string_view event,
                       std::span<const Field> fields);

}  // namespace oleandertide::logging

#endif  // OLEANDERTIDE_LOGGING_FIELD_H_
