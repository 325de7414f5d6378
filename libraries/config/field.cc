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

// A value as it was given.
struct GivenValue {
  std::string_view text;
  // Key or variable that gave it, and the line of the key.
  std::string_view name;
  std::size_t line = 1;
};

// Returns what the environment and the text give, the first one first.
std::vector<GivenValue> FindGiven(const FieldSpecification& specification,
                                  const IniSection& section,
                                  const ReadingRules& rules) {
  std::vector<GivenValue> values;
  if (rules.environment != nullptr && !specification.variable.empty()) {
    if (const auto text = rules.environment->Find(specification.variable)) {
      values.push_back({.text = *text, .name = specification.variable});
    }
  }
  const auto entry =
      std::ranges::find(section.entries, specification.key, &IniEntry::key);
  if (entry != section.entries.end()) {
    values.push_back(
        {.text = entry->value, .name = entry->key, .line = entry->line});
  }
  if (rules.skips_empty) {
    std::erase_if(
        values, [](const GivenValue& given) { return IsNoValue(given.text); });
  }
  return values;
}

// Says what stands for a missing value.
std::string DescribeAbsence(const FieldSpecification& specification) {
  if (specification.default_text) {
    return "default " + std::string(specification.default_text->empty()
                                        ? "empty"
                                        : *specification.default_text);
  }
  if (!specification.when_missing.empty()) {
    return "default: " + std::string(specification.when_missing);
  }
  return "required";
}

std::string List(std::span<const std::string_view> words) {
  std::string text;
  for (const std::string_view word : words) {
    text += (text.empty() ? "" : ", ") + std::string(word);
  }
  return text;
}

}  // namespace

bool IsNoValue(std::string_view text) { return text.empty() || text == "null"; }

namespace detail {

std::optional<Value> FindValue(const FieldSpecification& specification,
                               const IniSection& section,
                               const ReadingRules& rules,
                               DiagnosticList& diagnostics) {
  const bool ignores = rules.ignored != nullptr && !specification.is_required();
  for (const GivenValue& given : FindGiven(specification, section, rules)) {
    auto value = ParseValue(specification.rule, given.text);
    if (value) return std::move(value).assume_value();
    std::string message = value.assume_error().message;
    if (!ignores) {
      diagnostics.Add(given.line, given.name, std::move(message));
      return std::nullopt;
    }
    rules.ignored->Add(
        given.line, given.name,
        message + "; counts as missing, " + DescribeAbsence(specification));
  }
  if (specification.default_text) return ParseDefault(specification);
  // The earlier section of the same title may have the key.
  if (specification.is_required() && !section.is_duplicate) {
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
  std::string text = std::string(specification.key) + ": " +
                     std::string(specification.meaning) + "; " +
                     Describe(specification.rule) + "; " +
                     DescribeAbsence(specification);
  if (!specification.variable.empty()) {
    text += "; environment variable " + std::string(specification.variable);
  }
  return text;
}

}  // namespace oleandertide::config
