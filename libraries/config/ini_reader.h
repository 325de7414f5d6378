// Strict reader of INI text.

#ifndef OLEANDERTIDE_CONFIG_INI_READER_H_
#define OLEANDERTIDE_CONFIG_INI_READER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "config/diagnostic.h"

namespace oleandertide::config {

inline constexpr std::size_t kMaximumTextBytes = 1 << 20;
inline constexpr std::size_t kMaximumLineBytes = 512;

struct IniEntry {
  std::string key;
  std::string value;
  std::size_t line = 1;
};

// A section `[kind]` or `[kind name]`.
struct IniSection {
  std::string kind;
  std::string name;
  std::size_t line = 1;
  // Whether an earlier section has the same title. Its entries are to be
  // checked, but not to be used.
  bool is_duplicate = false;
  std::vector<IniEntry> entries;

  // Returns `kind` or `kind name`, as it stands between the brackets.
  std::string title() const;
};

// Reads the sections of `text` in order. Blank lines, lines that begin with
// ';' or '#', and the part of a line after a blank and ';' are skipped.
//
// Adds a diagnostic for text above kMaximumTextBytes (nothing is read then), a
// line above kMaximumLineBytes, control characters, characters outside ASCII
// other than in comment lines, a malformed line, an entry before the first
// section, a duplicate section and a duplicate key. The rest is still
// returned, so that the caller finds its own errors in the same run.
// Thread-safe.
std::vector<IniSection> ReadIni(std::string_view text,
                                DiagnosticList& diagnostics);

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_INI_READER_H_
