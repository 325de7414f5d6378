// Reads settings of a program by a table of fields.

#ifndef OLEANDERTIDE_CONFIG_SETTINGS_READER_H_
#define OLEANDERTIDE_CONFIG_SETTINGS_READER_H_

#include <algorithm>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/diagnostic.h"
#include "config/field.h"
#include "config/ini_reader.h"

namespace oleandertide::config::detail {

// Lists the sections of a table for a diagnostic.
template <typename Settings>
std::string ListSections(std::span<const Field<Settings>> fields) {
  std::string text;
  std::string_view last;
  for (const Field<Settings>& field : fields) {
    if (field.specification.section == last) continue;
    last = field.specification.section;
    text += (text.empty() ? "[" : ", [") + std::string(last) + "]";
  }
  return text;
}

// A section whose keys are not known beforehand. It must not be in `fields`.
struct OpenSection {
  std::string_view kind;
  // Its entries, in the order of the text.
  std::vector<IniEntry> entries;
};

// Reads all sections that `fields` names; a missing section is read as an
// empty one. The entries of `open` are left as they are.
// Precondition: the fields of a section follow each other.
template <typename Settings>
Checked<Settings> ReadSettings(
    std::span<const Field<Settings>> fields, std::string_view text,
    std::string_view file_name,
    const ReadingRules& rules = {.skips_empty = true},
    std::span<OpenSection> open = {}) {
  DiagnosticList diagnostics(file_name);
  std::vector<IniSection> sections = ReadIni(text, diagnostics);
  if (text.size() > kMaximumTextBytes) return diagnostics.Take();
  for (OpenSection& target : open) {
    std::erase_if(sections, [&target](IniSection& section) {
      if (section.kind != target.kind || !section.name.empty()) return false;
      target.entries = std::move(section.entries);
      return true;
    });
  }
  const auto has_fields = [&](const IniSection& section) {
    return section.name.empty() &&
           std::ranges::any_of(fields, [&](const Field<Settings>& field) {
             return field.specification.section == section.kind;
           });
  };
  for (const IniSection& section : sections) {
    if (has_fields(section)) continue;
    diagnostics.Add(section.line, section.title(),
                    "unknown section, allowed are " + ListSections(fields));
  }
  std::erase_if(sections, std::not_fn(has_fields));
  for (const Field<Settings>& field : fields) {
    const std::string_view kind = field.specification.section;
    if (std::ranges::find(sections, kind, &IniSection::kind) ==
        sections.end()) {
      sections.emplace_back().kind = kind;
    }
  }
  Settings settings;
  for (const IniSection& section : sections) {
    ReadFields(fields, section, settings, diagnostics, rules);
  }
  if (!diagnostics.is_empty()) return diagnostics.Take();
  return settings;
}

}  // namespace oleandertide::config::detail

#endif  // OLEANDERTIDE_CONFIG_SETTINGS_READER_H_
