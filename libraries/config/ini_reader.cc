#include "config/ini_reader.h"

#include <absl/container/flat_hash_map.h>
#include <ini.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace oleandertide::config {
namespace {

constexpr std::string_view kBlanks = " \t";
constexpr std::size_t kMaximumShownBytes = 80;

// The library stops at ini_max_line bytes (200 unless changed) and reads the
// rest as another line. It needs 3 more bytes than the longest line.
constexpr int kLibraryLineBytes = static_cast<int>(kMaximumLineBytes) + 3;

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

// Shortens and escapes text of the line for a diagnostic.
std::string Shown(std::string_view text) {
  std::string shown;
  for (const char c : text.substr(0, kMaximumShownBytes)) {
    shown += c >= 0x20 && c < 0x7f ? c : '?';
  }
  return shown;
}

bool IsComment(std::string_view trimmed) {
  return trimmed.starts_with(';') || trimmed.starts_with('#');
}

bool IsControl(char c) {
  return (c >= 0 && c < 0x20 && c != '\t') || c == 0x7f;
}

bool IsOutsideAscii(char c) { return static_cast<unsigned char>(c) >= 0x80; }

// Removes a comment after a blank, as the library does for entries.
std::string_view WithoutInlineComment(std::string_view line) {
  for (std::size_t i = 1; i < line.size(); ++i) {
    if (line[i] == ';' && kBlanks.find(line[i - 1]) != std::string_view::npos) {
      return line.substr(0, i);
    }
  }
  return line;
}

// Why a line cannot be read, if so.
std::optional<std::string> FindLineFault(std::string_view line,
                                         std::string_view trimmed) {
  if (line.size() > kMaximumLineBytes) {
    return "line of " + std::to_string(line.size()) +
           " bytes, at most 512 bytes are allowed";
  }
  if (std::ranges::any_of(line, IsControl)) {
    return "control character, only tab is allowed";
  }
  if (!IsComment(trimmed) && std::ranges::any_of(line, IsOutsideAscii)) {
    return "character outside ASCII, allowed only in comment lines";
  }
  return std::nullopt;
}

// Reads one text; keeps the section that entries belong to.
class Reader {
 public:
  explicit Reader(DiagnosticList& diagnostics) : diagnostics_(diagnostics) {
    // The library's setting is global; every reader stores the same value
    // before its first use.
    [[maybe_unused]] static const bool is_set = [] {
      ini_max_line = kLibraryLineBytes;
      return true;
    }();
  }

  void ReadLine(std::string_view line) {
    ++line_;
    if (line.ends_with('\r')) line.remove_suffix(1);
    const std::string_view trimmed = Trim(line);
    if (auto fault = FindLineFault(line, trimmed)) {
      diagnostics_.Add(line_, "line", *std::move(fault));
      return;
    }
    if (trimmed.empty() || IsComment(trimmed)) return;
    if (trimmed.starts_with('[')) {
      ReadSection(Trim(WithoutInlineComment(trimmed)));
    } else {
      ReadEntry(trimmed);
    }
  }

  std::vector<IniSection> Take() { return std::move(sections_); }

 private:
  // Sections are not left to the library: it cuts their names after 49
  // characters and does not report a section without entries.
  void ReadSection(std::string_view line) {
    keys_.clear();
    const std::string_view title =
        line.ends_with(']') ? Trim(line.substr(1, line.size() - 2)) : "";
    const std::size_t blank = title.find_first_of(kBlanks);
    IniSection section;
    section.kind = title.substr(0, blank);
    if (blank != std::string_view::npos) {
      section.name = Trim(title.substr(blank));
    }
    section.line = line_;
    if (title.empty()) {
      diagnostics_.Add(line_, Shown(line),
                       "malformed section, allowed is [kind] or [kind name]");
    } else if (const auto [first, is_new] =
                   section_lines_.try_emplace(section.title(), line_);
               !is_new) {
      diagnostics_.Add(line_, Shown(section.title()),
                       "duplicate section, first given in line " +
                           std::to_string(first->second) + ", allowed once");
      section.is_duplicate = true;
    }
    // A malformed section stays as the target of its entries; ReadIni drops it.
    sections_.push_back(std::move(section));
  }

  void ReadEntry(std::string_view line) {
    // The library also splits at ':'; only '=' is allowed here.
    const std::size_t separator = line.find_first_of("=:");
    if (separator == std::string_view::npos || line[separator] != '=' ||
        separator == 0) {
      diagnostics_.Add(line_, Shown(line),
                       "malformed line, allowed are [section], key = value "
                       "and comments that begin with ';' or '#'");
      return;
    }
    entry_.reset();
    if (ini_parse_string(std::string(line).c_str(), &HandleEntry, this) != 0 ||
        !entry_) {
      diagnostics_.Add(line_, Shown(line),
                       "malformed line, allowed is key = value");
      return;
    }
    StoreEntry(*std::move(entry_));
  }

  static int HandleEntry(void* user, const char* /*section*/, const char* name,
                         const char* value) {
    auto* reader = static_cast<Reader*>(user);
    reader->entry_ = IniEntry{name, value, reader->line_};
    return 1;
  }

  void StoreEntry(IniEntry entry) {
    if (sections_.empty()) {
      diagnostics_.Add(line_, Shown(entry.key),
                       "entry before the first section, a [section] must "
                       "come first");
      return;
    }
    const auto [first, is_new] = keys_.try_emplace(entry.key, line_);
    if (!is_new) {
      diagnostics_.Add(line_, Shown(entry.key),
                       "duplicate key, first given in line " +
                           std::to_string(first->second) +
                           ", allowed once in a section");
      return;
    }
    sections_.back().entries.push_back(std::move(entry));
  }

  DiagnosticList& diagnostics_;
  std::size_t line_ = 0;
  std::vector<IniSection> sections_;
  absl::flat_hash_map<std::string, std::size_t> section_lines_;
  absl::flat_hash_map<std::string, std::size_t> keys_;
  std::optional<IniEntry> entry_;
};

}  // namespace

std::string IniSection::title() const {
  return name.empty() ? kind : kind + " " + name;
}

std::vector<IniSection> ReadIni(std::string_view text,
                                DiagnosticList& diagnostics) {
  if (text.size() > kMaximumTextBytes) {
    diagnostics.Add(1, "text",
                    "text of " + std::to_string(text.size()) +
                        " bytes, at most 1 MiB is allowed");
    return {};
  }
  Reader reader(diagnostics);
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    reader.ReadLine(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  std::vector<IniSection> sections = reader.Take();
  std::erase_if(sections,
                [](const IniSection& section) { return section.kind.empty(); });
  return sections;
}

}  // namespace oleandertide::config
