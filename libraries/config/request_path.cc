#include "config/request_path.h"

#include <charconv>

namespace oleandertide::config {
namespace {

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

// Whether `encoded`, which begins with '%', begins with an encoding that no
// server needs to decode in order to find the segments.
bool IsNormalEncoding(std::string_view encoded) {
  const std::string_view digits = encoded.substr(1, 2);
  const char* const end = digits.data() + digits.size();
  unsigned char byte = 0;
  const auto [rest, code] = std::from_chars(digits.data(), end, byte, 16);
  if (digits.size() != 2 || code != std::errc() || rest != end) return false;
  const char c = static_cast<char>(byte);
  return !IsUnreserved(c) && c != '/' && c != '\\';
}

// Only the last segment may be empty: the path may end in '/'.
bool IsNormalSegment(std::string_view segment, bool is_last) {
  return segment != "." && segment != ".." && (is_last || !segment.empty());
}

}  // namespace

bool IsNormalPath(std::string_view path) {
  if (!path.starts_with('/')) return false;
  std::size_t start = 1;
  for (std::size_t i = 1; i <= path.size(); ++i) {
    if (i == path.size() || path[i] == '/') {
      if (!IsNormalSegment(path.substr(start, i - start), i == path.size())) {
        return false;
      }
      start = i + 1;
    } else if (path[i] == '\\' ||
               (path[i] == '%' && !IsNormalEncoding(path.substr(i)))) {
      return false;
    }
  }
  return true;
}

}  // namespace oleandertide::config
