#include "logging/field.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace oleandertide::logging {
namespace {

bool IsPlain(char c) {
  return c > ' ' && c < 0x7f && c != '=' && c != '"' && c != '\\';
}

void AppendEscaped(char c, std::string& line) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  switch (c) {
    case '\n':
      line += "\\n";
      return;
    case '\r':
      line += "\\r";
      return;
    case '\t':
      line += "\\t";
      return;
    case '"':
    case '\\':
      line += '\\';
      line += c;
      return;
    default:
      break;
  }
  if (c >= ' ' && c < 0x7f) {
    line += c;
    return;
  }
  const auto byte = static_cast<unsigned char>(c);
  line += "\\x";
  line += kDigits[byte >> 4];
  line += kDigits[byte & 0xf];
}

void AppendText(std::string_view text, std::string& line) {
  const std::string_view shown = text.substr(0, kMaximumValueBytes);
  if (!text.empty() && std::ranges::all_of(shown, IsPlain)) {
    line += shown;
  } else {
    line += '"';
    for (const char c : shown) AppendEscaped(c, line);
    line += '"';
  }
  if (shown.size() < text.size()) line += "...";
}

// Appends the visited value.
struct ValueWriter {
  std::string& line;

  void operator()(std::string_view value) const { AppendText(value, line); }
  void operator()(bool value) const { line += value ? "true" : "false"; }
  void operator()(auto number) const {
    std::array<char, 32> buffer{};
    const auto written =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    line.append(buffer.data(), written.ptr);
  }
};

}  // namespace

std::string FormatLine(std::string_view component, std::string_view event,
                       std::span<const Field> fields) {
  std::string line(component);
  line += ' ';
  AppendText(event, line);
  for (const Field& field : fields) {
    line += ' ';
    line += field.key();
    line += '=';
    std::visit(ValueWriter{line}, field.value());
  }
  return line;
}

}  // namespace oleandertide::logging
