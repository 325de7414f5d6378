#include "config/field.h"

#include <algorithm>

namespace oleandertide::config {
namespace {

constexpr std::size_t kMaximumShownBytes = 80;

// Parses the default text. A default that its own rule refuses is an error of
// the table, which the tests of every table find.
std::optional<Value> ParseDefault(const FieldSpecification& specification) {
  auto value = ParseValue(specification.rule, *specification.default_text);
  if (!value) return std::nullopt;
  return std::move(value).assume_value();
}

std::string List(std::span<const std::string_view> words) {
  std::string text;
  for (const std::string_view word : words) {
    text += (text.empty() ? "" : ", ") + std::string(word);
  }
  return text;
}

}  // namespace

namespace detail {

std::optional<Value> FindValue(const FieldSpecification& specification,
                               const IniSection& section,
                               DiagnosticList& diagnostics) {
  const auto entry =
      std::ranges::find(section.entries, specification.key, &IniEntry::key);
  if (entry != section.entries.end()) {
    auto value = ParseValue(specification.rule, entry->value);
    if (value) return std::move(value).assume_value();
    diagnostics.Add(entry->line, entry->key, value.assume_error().message);
    return std::nullopt;
  }
  if (specification.default_text) return ParseDefault(specification);
  // The earlier section of the same title may have the key.
  if (specification.when_missing.empty() && !section.is_duplicate) {
    diagnostics.Add(section.line, specification.key,
                    "missing in [" + section.title() + "], required is " +
                        Describe(specification.rule));
  }
  return std::nullopt;
}

void ReportUnknownKeys(std::span<const std::string_view> known,
                       const IniSection& section, DiagnosticList& diagnostics) {
  for (const IniEntry& entry : section.entries) {
    if (std::ranges::find(known, entry.key) != known.end()) continue;
    diagnostics.Add(entry.line, entry.key.substr(0, kMaximumShownBytes),
                    "unknown key in [" + section.title() + "], allowed: " +
                        (known.empty() ? "no keys" : List(known)));
  }
}

}  // namespace detail

std::string Describe(const FieldSpecification& specification) {
  std::string absent = "required";
  if (specification.default_text) {
    absent = "default " + std::string(specification.default_text->empty()
                                          ? "empty"
                                          : *specification.default_text);
  } else if (!specification.when_missing.empty()) {
    absent = "default: " + std::string(specification.when_missing);
  }
  return std::string(specification.key) + ": " +
         std::string(specification.meaning) + "; " +
         Describe(specification.rule) + "; " + absent;
}

}  // namespace oleandertide::config
