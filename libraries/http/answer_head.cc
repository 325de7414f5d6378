#include "http/answer_head.h"

#include <algorithm>
#include <cstddef>
#include <optional>

#include "core/size.h"
#include "http/server.h"

namespace oleandertide::http {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kMaximumHeadBytes = 64 * kKibibyte;

bool IsDigit(char character) { return character >= '0' && character <= '9'; }

bool IsTokenCharacter(char character) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return IsDigit(character) || (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         kOthers.find(character) != std::string_view::npos;
}

bool IsValueCharacter(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return byte == '\t' || (byte >= ' ' && byte != 127);
}

// Returns the status in a status line; nothing if it has none of 100 to 599.
std::optional<int> ParseStatus(std::string_view line) {
  // "HTTP/1.1 200", and a blank if a reason follows.
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kStatusAt = 9;
  constexpr std::size_t kStatusEnd = 12;
  if (line.size() < kStatusEnd || !line.starts_with(kVersion) ||
      (line[7] != '0' && line[7] != '1') || line[8] != ' ' ||
      (line.size() > kStatusEnd && line[kStatusEnd] != ' ') ||
      !std::ranges::all_of(line, IsValueCharacter)) {
    return std::nullopt;
  }
  int status = 0;
  for (const char digit : line.substr(kStatusAt, kStatusEnd - kStatusAt)) {
    if (!IsDigit(digit)) return std::nullopt;
    status = 10 * status + (digit - '0');
  }
  if (status < 100 || status >= 600) return std::nullopt;
  return status;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

// Removes the first line, without its end, and returns it.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = text.find(kLineEnd);
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(end + kLineEnd.size());
  return line;
}

// Whether the lines of a head, each with its end, are fields, and tell at most
// one length and one coding.
bool AreFields(std::string_view lines) {
  std::optional<std::string_view> length;
  bool is_chunked = false;
  while (!lines.empty()) {
    const std::string_view line = TakeLine(lines);
    const std::size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos) return false;
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = Trim(line.substr(colon + 1));
    if (!std::ranges::all_of(name, IsTokenCharacter) ||
        !std::ranges::all_of(value, IsValueCharacter)) {
      return false;
    }
    if (HasSameName(name, "Content-Length")) {
      if (value.empty() || !std::ranges::all_of(value, IsDigit) ||
          length.value_or(value) != value) {
        return false;
      }
      length = value;
    } else if (HasSameName(name, "Transfer-Encoding")) {
      if (is_chunked || !HasSameName(value, "chunked")) return false;
      is_chunked = true;
    }
  }
  return !(is_chunked && length);
}

}  // namespace

bool AnswerHeadCheck::Put(std::string_view bytes) {
  for (const char byte : bytes) {
    if (is_complete_) return true;
    head_ += byte;
    if (interim_bytes_ + head_.size() > kMaximumHeadBytes) return false;
    if (head_.ends_with(kHeadEnd) && !Finish()) return false;
  }
  return true;
}

bool AnswerHeadCheck::Finish() {
  std::string_view lines = head_;
  lines.remove_suffix(kLineEnd.size());
  const auto status = ParseStatus(TakeLine(lines));
  if (!status || !AreFields(lines)) return false;
  // The library goes on behind this interim answer only.
  constexpr int kContinue = 100;
  if (*status > kContinue && *status < 200) return false;
  is_complete_ = *status != kContinue;
  interim_bytes_ += head_.size();
  head_.clear();
  return true;
}

}  // namespace oleandertide::http
